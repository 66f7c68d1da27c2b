package network

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one end of a simulated connection. Both ends apply the rate of their own VM's link. The dialing end also
// applies the rate of the link between regions in both directions, as out and in, and adds the whole round-trip time
// as delay before each write.
type conn struct {
	net.Conn
	network *Network
	node    *Node
	peer    *Node
	out     *Bucket
	in      *Bucket
	delay   time.Duration
	silent  atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Write sends p at the rates of the links. A silent connection discards p and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	pass(len(p), c.node.up, c.out)
	return c.Conn.Write(p)
}

// Read receives at the rates of the links. On a silent connection it blocks until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	if n > 0 {
		pass(n, c.node.down, c.in)
	}
	return n, err
}

// Close closes the connection and unblocks a Read that waits on a silent connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.untrack(c)
	})
	return c.Conn.Close()
}

// listener wraps the connections that a node accepts.
type listener struct {
	net.Listener
	network *Network
	node    *Node
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, network: l.network, node: l.node, closed: make(chan struct{})}, nil
}
