package listener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// writeChunk is the number of bytes after which a write counts as progress.
	writeChunk = 16 << 10
	// bodyProgress is the number of bytes after which the receipt of a body counts as progress. A caller that sends single
	// bytes makes none.
	bodyProgress = 4 << 10
)

// The phases of a connection. One that no http.Server serves stays in phaseNew.
const (
	// phaseNew: no request has been received.
	phaseNew int32 = iota
	// phaseHeader: a part of a request header has been received.
	phaseHeader
	// phaseActive: a request is in progress.
	phaseActive
	// phaseIdle: the last request has ended.
	phaseIdle
	// phaseClosing: the connection is being closed in favour of others.
	phaseClosing
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	address  string

	current atomic.Int32
	// progressAt is the time of the last progress, writingAt that at which the write in progress began or last progressed, 0
	// if there is none.
	progressAt atomic.Int64
	writingAt  atomic.Int64
	// waiting is true while the connection waits for memory for its request header.
	waiting atomic.Bool
	// receiving is true while the body of a request is awaited. unmarked counts the bytes of a header or body since the last
	// progress.
	receiving atomic.Bool
	unmarked  atomic.Int64
	kept      atomic.Bool
	// yieldedIn is the phase in which the connection was chosen to be closed in favour of others.
	yieldedIn int32
	// responding is true once a part of the response to the request in progress has been written.
	responding atomic.Bool
	// sentAhead is true if a part of the request in progress was received before the response to the previous one began.
	sentAhead atomic.Bool
	// held is the number of bytes of bodies that are held for the connection, charged that for its request header.
	held    atomic.Int64
	charged atomic.Int64
	header  headerReader
	// writeDeadline is the deadline that the user of the connection has set, in Unix nanoseconds, 0 for none.
	writeDeadline atomic.Int64
	closed        atomic.Bool
	// displaced is true once the listener has closed the connection, or has given up a write to it, to keep to its limits.
	displaced atomic.Bool
	// broken is true once a write has failed, lingering once the connection is read only until its last response has arrived.
	broken    atomic.Bool
	lingering atomic.Bool
	// pending is true once the connection was to be closed while a request arrived on it.
	pending atomic.Bool
}

func newConn(l *Listener, inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l}
	c.current.Store(phaseNew)
	if host, _, err := net.SplitHostPort(inner.RemoteAddr().String()); err == nil {
		c.address = host
	}
	c.progress()
	return c
}

// Keep exempts the connection from being closed in favour of others, because its peer is known.
func (c *Conn) Keep() { c.kept.Store(true) }

// Close closes the connection, or its sending direction while its last response is on its way. If a request arrives on it, it stays
// open for that. What is held for it is released by those who acquired it.
func (c *Conn) Close() error {
	if c.awaitsRequest() {
		time.AfterFunc(pendingTime, c.closeUnlessActive)
		return nil
	}
	if c.lingers() {
		go c.linger()
		return nil
	}
	return c.closeAndRemove()
}

func (c *Conn) closeAndRemove() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.mu.Lock()
		c.listener.remove(c)
		c.listener.mu.Unlock()
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, which http.Server does before it closes a connection with unread data. It does
// nothing if the connection cannot be closed by half.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. It fails with ErrNoMemory if there is no memory for the request header that is read.
func (c *Conn) Read(p []byte) (int, error) {
	if c.listener.options.HTTP && c.phase() != phaseActive {
		return c.readHeader(p)
	}
	n, err := c.header.readRest(p)
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	c.received(p[:n])
	return n, err
}

// received records the receipt of data that are not part of a request header.
func (c *Conn) received(data []byte) {
	if len(data) == 0 {
		return
	}
	if !c.listener.options.HTTP {
		c.progress()
		return
	}
	c.header.remember(data, c.responding.Load())
	if c.receiving.Load() && c.unmarked.Add(int64(len(data))) >= bodyProgress {
		c.unmarked.Store(0)
		c.progress()
	}
}

// Write implements net.Conn. It fails with a timeout if the peer does not accept a part of the data in time.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	c.responding.Store(true)
	c.writingAt.Store(int64(c.listener.now()) + 1)
	defer c.writingAt.Store(0)
	for {
		part := p[written:min(len(p), written+writeChunk)]
		if err := c.limitWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			c.broken.Store(true)
		}
		if err != nil || written == len(p) {
			if n > 0 && !c.listener.options.HTTP {
				c.progress()
			}
			c.countTimeout(err)
			return written, err
		}
		c.writingAt.Store(int64(c.listener.now()) + 1)
		if !c.listener.options.HTTP {
			c.progress()
		}
	}
}

// limitWrite sets the deadline for the next part of a write.
func (c *Conn) limitWrite() error {
	timeout := c.listener.options.WriteTimeout
	if timeout == 0 {
		return nil
	}
	deadline := time.Now().Add(timeout)
	if set := c.writeDeadline.Load(); set != 0 && set < deadline.UnixNano() {
		deadline = time.Unix(0, set)
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// countTimeout counts a write that failed because the peer did not read.
func (c *Conn) countTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.writeDeadline.Load() == 0 {
		c.listener.count(reasonUnread)
		c.displaced.Store(true)
		setReset(c.Conn)
	}
}

// SetWriteDeadline implements net.Conn. The write timeout of the listener applies as well.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.storeWriteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.storeWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *Conn) storeWriteDeadline(t time.Time) {
	if t.IsZero() {
		c.writeDeadline.Store(0)
		return
	}
	c.writeDeadline.Store(t.UnixNano())
}

func (c *Conn) progress() { c.progressAt.Store(int64(c.listener.now())) }

func (c *Conn) phase() int32 { return c.current.Load() }

// yield lets no further request begin on the connection, or returns false if it is no longer in the given phase.
func (c *Conn) yield(phase int32) bool {
	if !c.current.CompareAndSwap(phase, phaseClosing) {
		return false
	}
	c.yieldedIn = phase
	return true
}

// enter changes the phase, or returns false if the connection is being closed.
func (c *Conn) enter(phase int32) bool {
	for {
		switch p := c.phase(); {
		case p == phaseClosing:
			return false
		case c.current.CompareAndSwap(p, phase):
			return true
		}
	}
}

// setState follows the state that an http.Server reports: it becomes active once a request header is complete and idle once
// the response has been sent.
func (c *Conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.enter(phaseActive)
	case http.StateIdle:
		c.receiving.Store(false)
		c.endRequest()
		c.progress()
		c.enter(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.releaseHeader()
		if !c.lingering.Load() {
			c.current.Store(phaseActive)
			c.closePending()
		}
	}
}

// standing is the place of a connection in the order in which connections are closed in favour of others.
type standing struct {
	rank       int
	progressAt int64
	// phase is the phase of the connection to which the place applies.
	phase int32
}

// The ranks of connections: a request that is stalled, no request so far, and no request after one was served.
const (
	rankStalled = iota
	rankUnused
	rankIdle
)

func (s standing) before(other standing) bool {
	if s.rank != other.rank {
		return s.rank < other.rank
	}
	return s.progressAt < other.progressAt
}

// standing returns the place of c, or false if c must not be closed. grace is the time without progress before which a
// connection without a request in progress is not closed.
func (c *Conn) standing(now, grace time.Duration) (standing, bool) {
	phase := c.phase()
	at, rank := c.progressAt.Load(), rankUnused
	switch phase {
	case phaseHeader:
		if int64(now)-at >= int64(stallTime) {
			rank = rankStalled
		}
	case phaseIdle:
		rank = rankIdle
	case phaseActive:
		rank, grace = rankStalled, stallTime
		if !c.receiving.Load() {
			at = c.writingAt.Load()
			if at == 0 {
				return standing{}, false
			}
		}
	}
	if c.kept.Load() || int64(now)-at < int64(grace) {
		return standing{}, false
	}
	return standing{rank: rank, progressAt: at, phase: phase}, true
}

// setBuffers bounds the memory that the kernel holds for the connection.
func (c *Conn) setBuffers() {
	size := c.listener.options.SocketBuffer
	s, ok := c.Conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if size == 0 || !ok {
		return
	}
	// An error means that the connection has ended, which the next read or write reports.
	_ = s.SetReadBuffer(size)
	_ = s.SetWriteBuffer(size)
}

// setReset makes the next Close reset the connection, so that the kernel keeps nothing for a peer that reads nothing.
func setReset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
}

func closeAtOnce(c net.Conn) {
	setReset(c)
	_ = c.Close()
}
