// Package call carries one attempt from an entry process to a side process and follows its answer across broken connections.
package call
