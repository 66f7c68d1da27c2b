package listener

import (
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// lingerTime is the time for which a connection whose last response is on its way is still read.
const lingerTime = time.Second

// lingers reports whether the connection is to be read until its last response has arrived: the operating system resets a
// connection that is closed with unread data, or that receives more, and the response would be lost.
func (c *Conn) lingers() bool {
	if !c.listener.options.HTTP || c.phase() != phaseActive || !c.responding.Load() || c.broken.Load() {
		return false
	}
	return inTransit(c.Conn) && c.lingering.CompareAndSwap(false, true)
}

// linger discards what the peer sends until it closes the connection, for up to lingerTime, and closes the connection. Meanwhile it
// may be closed in favour of others like an idle one.
func (c *Conn) linger() {
	c.progress()
	c.current.Store(phaseIdle)
	if c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscardedBytes))
	}
	_ = c.closeAndRemove()
}

// inTransit reports whether the operating system holds data of a connection that have not been read or acknowledged.
func inTransit(c net.Conn) bool {
	return bufferedBytes(c, unix.TIOCINQ, unix.TIOCOUTQ) > 0
}
