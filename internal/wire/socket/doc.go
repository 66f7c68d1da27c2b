// Package socket opens TCP connections that notice a silent other end.
package socket
