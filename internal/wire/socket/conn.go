package socket

import (
	"io"
	"net"
	"sync"
	"time"
)

// endTimeout is the time within which a write must end that is in progress at the end of the stream. After the loss of a connection it
// fails at once; a peer that has ended its stream may go on without reading.
const endTimeout = time.Second

// Conn is a connection whose stream has no orderly end once a write has failed.
//
// The operating system reports the loss of a connection to one operation only. If that is a write, the next read of a
// net.Conn returns io.EOF as after an orderly close, and what has been received by then would pass for all that was sent.
type Conn struct {
	net.Conn
	// mu is held while the connection is written.
	mu       sync.Mutex
	writeErr error
}

// NewConn returns a Conn that reads and writes c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection. It returns the error of a failed write in place of io.EOF, for which it waits until a write in
// progress has ended, up to endTimeout.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.EndError()
	}
	return n, err
}

// EndError returns the error for the end of the stream: io.EOF, or the error of a write that has failed before. A write in progress
// fails after endTimeout.
func (c *Conn) EndError() error {
	if !c.mu.TryLock() {
		_ = c.SetWriteDeadline(time.Now().Add(endTimeout))
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

// Write writes p to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.observe(err)
	return n, err
}

// WriteBuffers writes the contents of b to the connection, if possible with one system call.
func (c *Conn) WriteBuffers(b *net.Buffers) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := b.WriteTo(c.Conn)
	c.observe(err)
	return n, err
}

// observe keeps the first error of a write. The caller holds mu.
func (c *Conn) observe(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}
