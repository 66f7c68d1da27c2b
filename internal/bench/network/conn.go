package network

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one end of a connection. The dialing end also carries the link between regions and the delay.
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

// Write sends at the rates of the links; a silent connection swallows what it is given.
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

// Read receives at the rates of the links; a silent connection waits until it is closed.
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

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.untrack(c)
	})
	return c.Conn.Close()
}

// listener wraps the accepted connections of a node.
type listener struct {
	net.Listener
	network *Network
	node    *Node
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, network: l.network, node: l.node, closed: make(chan struct{})}, nil
}
