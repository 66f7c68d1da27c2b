//go:build crowd

package main

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the peer has reset a connection or closed it completely. It reads nothing.
func closedByPeer(c syscall.RawConn) bool {
	closed := false
	err := c.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		closed = err == nil && n > 0
	})
	return err != nil || closed
}
