package channel

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// maxUnreadBytes limits the bytes that are kept of what a connection has received when its call ends.
const maxUnreadBytes = 256 << 10

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// receiver reads from a connection. Once it has ended, only what the connection had received by then can be read: a response
// that is there is not lost because its reader was busy. Only one goroutine may read at a time.
type receiver struct {
	conn *socket.Conn
	// ending is true once end was called.
	ending atomic.Bool

	// mu is held while the connection is read.
	mu    sync.Mutex
	ended bool
	// unread are the bytes that can still be read, after which err follows.
	unread []byte
	err    error
}

// Read implements io.Reader.
func (r *receiver) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ending.Load() {
		return r.readUnread(p)
	}
	n, err := r.conn.Read(p)
	if n == 0 && r.ending.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return r.readUnread(p)
	}
	return n, err
}

// end takes from the connection what it has received, and lets a Read in progress return. The connection can be closed then.
func (r *receiver) end() {
	r.ending.Store(true)
	_ = r.conn.SetReadDeadline(longAgo)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take()
}

func (r *receiver) readUnread(p []byte) (int, error) {
	r.take()
	if len(r.unread) == 0 && r.err == io.EOF {
		return 0, r.conn.EndError()
	}
	if len(r.unread) == 0 {
		return 0, r.err
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// take reads what the connection has received, without waiting. The caller holds mu.
func (r *receiver) take() {
	if r.ended {
		return
	}
	r.ended, r.err = true, net.ErrClosed
	sc, ok := r.conn.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// Unlike Read, Control does not fail because of the deadline.
	if err := raw.Control(func(fd uintptr) { r.takeFrom(int(fd)) }); err != nil {
		r.err = err
	}
}

func (r *receiver) takeFrom(fd int) {
	buffer := make([]byte, readBufferBytes)
	for len(r.unread) < maxUnreadBytes {
		n, _, err := syscall.Recvfrom(fd, buffer, syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK:
			return
		case err != nil:
			r.err = err
			return
		case n == 0:
			r.err = io.EOF
			return
		default:
			r.unread = append(r.unread, buffer[:n]...)
		}
	}
}
