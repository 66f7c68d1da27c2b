package faulty

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// DialUntilReadable returns a DialFunc whose connections are returned once the peer has sent bytes, closed or reset them.
func DialUntilReadable(dial socket.DialFunc) socket.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			return nil, err
		}
		return c, raw.Read(func(fd uintptr) bool {
			var b [1]byte
			_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err != syscall.EAGAIN
		})
	}
}

// DialAccepting returns a DialFunc whose connections are reset once n bytes have been written to them.
func DialAccepting(dial socket.DialFunc, n int64) socket.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		limited := &acceptingConn{Conn: c}
		limited.left.Store(n)
		return limited, nil
	}
}

// acceptingConn is a connection that fails once left bytes have been written.
type acceptingConn struct {
	net.Conn
	left atomic.Int64
}

func (c *acceptingConn) Write(b []byte) (int, error) {
	n := int(min(int64(len(b)), c.left.Load()))
	if n > 0 {
		written, err := c.Conn.Write(b[:n])
		c.left.Add(-int64(written))
		if err != nil || n == len(b) {
			return written, err
		}
	}
	_ = c.Close()
	return n, syscall.ECONNRESET
}
