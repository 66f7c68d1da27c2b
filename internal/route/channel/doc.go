// Package channel carries single HTTP/1.1 calls to upstreams on connections of its own. It tells whether a byte
// of a call may have been read, and takes no answer that belongs to another call.
package channel
