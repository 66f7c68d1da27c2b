package listener

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pendingTime is the time for which a connection that is closed while a request arrives on it stays open for that.
const pendingTime = time.Second

// awaitsRequest reports, once, whether the connection is closed as an idle one although a request has begun to arrive: http.Server
// takes it for idle until it has parsed the header, which a busy process may do late.
func (c *Conn) awaitsRequest() bool {
	if !c.listener.options.HTTP || c.closed.Load() {
		return false
	}
	switch c.phase() {
	case phaseHeader:
	case phaseNew, phaseIdle:
		if bufferedBytes(c.Conn, unix.TIOCINQ) == 0 {
			return false
		}
	default:
		return false
	}
	return c.pending.CompareAndSwap(false, true)
}

// closeUnlessActive closes the connection unless a request is in progress, after which http.Server closes it.
func (c *Conn) closeUnlessActive() {
	if c.phase() != phaseActive {
		_ = c.closeAndRemove()
	}
}

// closePending closes a connection that is no longer read, if it was kept open for a request.
func (c *Conn) closePending() {
	if c.pending.Load() {
		_ = c.closeAndRemove()
	}
}

// bufferedBytes returns how many bytes of a connection the operating system holds, as each of the requests counts them.
func bufferedBytes(c any, requests ...uint) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	held := 0
	// An error means that the connection has ended.
	_ = raw.Control(func(fd uintptr) {
		for _, request := range requests {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				held += n
			}
		}
	})
	return held
}
