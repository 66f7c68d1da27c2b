// Package stream splits a server-sent event stream into events, so that only complete events are forwarded and an
// interrupted stream can be resumed at another upstream after the last of them.
package stream
