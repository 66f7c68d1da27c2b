// Package attempt runs each attempt of a request at the upstream at most once. It buffers the response, so that a
// reader whose connection broke can reattach and continue from its offset.
package attempt
