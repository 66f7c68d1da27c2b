// Package call sends one attempt from an entry process to a side process and receives the response, which it resumes
// on a new connection when one breaks.
package call
