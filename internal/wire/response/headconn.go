package response

import (
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// statusAt is the index of the three digits of the status in the first line of a head.
const statusAt = len("HTTP/1.1 ")

// headConn is a connection that scans the head of the response to the latest request.
type headConn struct {
	*socket.Conn

	mu   sync.Mutex
	head headReader
}

func newHeadConn(c net.Conn) *headConn { return &headConn{Conn: socket.NewConn(c)} }

// begin prepares for the response to the next request, of which nothing has been written yet.
func (c *headConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headReader{}
}

// Read reads from the connection.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.add(p[:n])
	return n, err
}

// check returns an error if Scan refuses the head of r, the response to the latest request.
func (c *headConn) check(r *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan.Check(r)
}

// headReader scans the head of a final response and those of the interim ones before it.
type headReader struct {
	scan Scan
	// begin holds the first bytes of the head without further blanks before the status, length of them.
	begin  [statusAt + 3]byte
	length int
	// done is true once the head of a final response has ended.
	done bool
}

// add scans the next part of what was received.
func (r *headReader) add(data []byte) {
	for _, b := range data {
		if r.done {
			return
		}
		r.addByte(b)
	}
}

func (r *headReader) addByte(b byte) {
	if r.length < len(r.begin) && !r.beforeStatus(b) {
		r.begin[r.length] = b
		r.length++
	}
	switch end := r.scan.Add(b); {
	case end && r.interim():
		r.length, r.scan = 0, Scan{folded: r.scan.folded}
	case end:
		r.done = true
	}
}

// beforeStatus reports whether b is a further blank before the status, which package net/http passes over.
func (r *headReader) beforeStatus(b byte) bool { return r.length == statusAt && b == ' ' }

// interim reports whether the head is that of an interim response.
func (r *headReader) interim() bool {
	status := string(r.begin[statusAt:])
	return strings.HasPrefix(status, "1") && status != "101"
}
