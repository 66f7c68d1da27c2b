package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout is the time for which sent data may remain unacknowledged before the connection is closed.
	unackedTimeout = 2 * time.Second
	// longUnackedTimeout replaces it while a peer may read late what is sent to it: once its receive buffer is full, it
	// acknowledges nothing more until it reads.
	longUnackedTimeout = 10 * time.Second
	// probeInterval is the idle time before the first keep-alive probe and the time between two probes.
	probeInterval = time.Second
	// probeCount is the number of unanswered probes after which the connection is closed.
	probeCount = 2

	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 0x12
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer returns a DialFunc that opens TCP connections within timeout and closes them if the peer stops responding.
func Dialer(timeout time.Duration) DialFunc {
	d := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUnackedTimeout(c, unackedTimeout)
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// LetPeerReadLate sets whether the peer of an open TCP connection may leave sent data unread for some seconds before the connection
// is closed. It does nothing if c is not a connection of the operating system.
func LetPeerReadLate(c net.Conn, late bool) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	if late {
		return setUnackedTimeout(raw, longUnackedTimeout)
	}
	return setUnackedTimeout(raw, unackedTimeout)
}

// setUnackedTimeout sets the time for which data sent on c may remain unacknowledged.
func setUnackedTimeout(c syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// ResetOnClose returns a DialFunc whose connections are reset when they are closed: bytes that the peer has not received yet
// are dropped, and do not reach it later.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
			if err := l.SetLinger(0); err != nil {
				_ = c.Close()
				return nil, err
			}
		}
		return c, nil
	}
}
