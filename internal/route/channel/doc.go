// Package channel sends HTTP/1.1 calls to upstreams on its own pool of connections. Its errors distinguish calls of
// which no byte was sent from calls that may have run, and it discards responses that belong to another call.
package channel
