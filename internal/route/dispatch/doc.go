// Package dispatch implements the HTTP handler of an entry process: it validates requests, chooses upstreams, sends
// attempts to them and reports the outcome to the caller.
package dispatch
