package link

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the connections between processes, in both directions.
type Traffic struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

// Dial returns a DialFunc that counts the bytes of the connections opened by dial.
func (t *Traffic) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

// Listener returns a listener that counts the bytes of the connections accepted by l.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
