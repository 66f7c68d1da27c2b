// Package socket opens TCP connections that fail within seconds when the peer stops responding.
package socket
