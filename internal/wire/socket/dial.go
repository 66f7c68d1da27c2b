package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout ends a connection whose bytes are not acknowledged.
	unackedTimeout = 2 * time.Second
	// probeInterval is the time between two keep-alive probes on a silent connection.
	probeInterval = time.Second
	probeCount    = 2

	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which the syscall package does not name.
	tcpUserTimeout = 0x12
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer returns a function that opens TCP connections within timeout.
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
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}
