// Package socket opens TCP connections that fail within seconds when the peer stops responding, and reads them in a way that no reset
// passes for an orderly end.
package socket
