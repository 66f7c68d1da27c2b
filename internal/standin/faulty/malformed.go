package faulty

import "net/http"

// StartMalformed starts a server on loopback that responds to each request with status 200, a head in which the name of a field
// holds a blank, and body. fields are further lines of the head. It runs until Close.
func StartMalformed(fields, body string) (*Server, error) {
	head := "HTTP/1.1 200 OK\r\nEx tra: 1\r\nConnection: close\r\n" + fields + "\r\n"
	return StartEarly(func(*http.Request) string { return head + body }, CloseAfter(0))
}
