package listener

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// fieldCost is the memory in bytes that is charged for each line of a request header beside its length: the entry in the
	// map of fields, the value slice, and a copy of both that is sent to an upstream.
	fieldCost = 256
	// readerBytes is the size of the read buffer of http.Server. Up to as many bytes of the next request may have been read
	// with the end of a request.
	readerBytes = 4 << 10
	// headerMemoryTimeout is the time for which the reading of a request header waits for memory.
	headerMemoryTimeout = 500 * time.Millisecond
	// refusalTimeout is the time limit for sending refusal and for discarding what the caller still sends.
	refusalTimeout = 100 * time.Millisecond
	// maxDiscardedBytes limits what is discarded then.
	maxDiscardedBytes = 256 << 10
	// headerProgress is the number of bytes after which the receipt of a request header counts as progress.
	headerProgress = 1 << 10
	// unknownLength is the length of a body that is sent in chunks.
	unknownLength = -1
)

// refusal is the response to a request whose header does not fit into the memory. Nothing has been sent to an upstream.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// ErrNoMemory means that there is no memory for a request header.
var ErrNoMemory = errors.New("no memory for the request header")

// headerReader charges for a request header while it is read. Only the goroutine that serves the connection uses it.
type headerReader struct {
	// rest is what was received after the end of a header. It is held back, because it may begin the next header.
	rest []byte
	// blank is true if the bytes so far end with an end of line, which another one makes the end of the header.
	blank bool
	// body is the number of bytes received since the end of the header, expected the length of the body, unknownLength if
	// that is not known.
	body     int64
	expected int64
	// tail is the cost of the bytes that http.Server may have read beyond the end of the last body.
	tail int64
	// beyond is true if data beyond the end of the request in progress were received before the response began. Later data may
	// follow a response that the caller has, because http.Server reads ahead until its response has been sent.
	beyond bool
}

// readRest returns bytes that were held back.
func (h *headerReader) readRest(p []byte) (int, error) {
	n := copy(p, h.rest)
	h.rest = h.rest[n:]
	if len(h.rest) == 0 {
		h.rest = nil
	}
	return n, nil
}

// remember notes what may have been read beyond the end of a body. responding is true if the response has begun.
func (h *headerReader) remember(data []byte, responding bool) {
	h.body += int64(len(data))
	beyond := int64(len(data))
	if h.expected != unknownLength {
		beyond = min(beyond, h.body-h.expected)
	}
	if h.expected != unknownLength && beyond > 0 && !responding {
		h.beyond = true
	}
	// A single byte is read while a request is in progress to notice that the caller has left.
	if beyond > 1 {
		h.tail = cost(data[int64(len(data))-min(beyond, readerBytes):])
	}
}

// end returns the length of the part of data up to the end of the header, or of all of data.
func (h *headerReader) end(data []byte) int {
	for i, b := range data {
		switch {
		case b == '\n' && h.blank:
			h.blank = false
			return i + 1
		case b == '\n':
			h.blank = true
		case b != '\r':
			h.blank = false
		}
	}
	return len(data)
}

// cost returns the memory that is charged for bytes of a header.
func cost(data []byte) int64 {
	return int64(len(data) + fieldCost*bytes.Count(data, []byte{'\n'}))
}

// readHeader reads a part of a request header, up to its end, and charges for it.
func (c *Conn) readHeader(p []byte) (int, error) {
	h := &c.header
	n, err := h.readRest(p)
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return 0, err
	}
	if c.phase() != phaseHeader {
		c.unmarked.Store(headerProgress)
		if !c.enter(phaseHeader) {
			return 0, net.ErrClosed
		}
	}
	if c.unmarked.Add(int64(n)) >= headerProgress {
		c.unmarked.Store(0)
		c.progress()
	}
	if end := h.end(p[:n]); end < n {
		h.rest = append(bytes.Clone(p[end:n]), h.rest...)
		n = end
	}
	if !c.charge(cost(p[:n])) {
		c.refuse()
		return 0, ErrNoMemory
	}
	return n, err
}

// charge acquires n bytes for the request header. If they are not free, connections with incomplete headers are closed.
func (c *Conn) charge(n int64) bool {
	b := c.listener.options.Headers
	if b == nil {
		return true
	}
	if b.TryAcquire(n) {
		c.charged.Add(n)
		return true
	}
	c.waiting.Store(true)
	reclaim := func() bool {
		c.listener.reclaim(func(other *Conn) bool {
			// One that waits for memory itself would free nothing before it has got some or has been refused.
			return other != c && other.phase() != phaseActive && other.charged.Load() > 0 && !other.waiting.Load()
		})
		return !c.closed.Load()
	}
	if !b.acquire(context.Background(), InTurn, n, headerMemoryTimeout, reclaim) {
		// It stays marked as waiting until it has been refused.
		return false
	}
	// It might be closed for another one that still waits, before its request has begun.
	c.progress()
	c.waiting.Store(false)
	c.charged.Add(n)
	return true
}

// refuse responds that the request has not run.
func (c *Conn) refuse() {
	c.listener.count(reasonHeader)
	c.releaseHeader()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(refusal))
	// Closing with unread data resets the connection, and the caller might lose the refusal.
	if c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscardedBytes))
	}
	_ = c.closeAndRemove()
}

// endRequest releases the memory for the header of a request that has ended. What may have been read of the next header stays
// charged until the end of the next request. If there is no memory for that, the connection is closed.
func (c *Conn) endRequest() {
	c.releaseHeader()
	tail := c.header.tail
	c.sentAhead.Store(c.header.beyond || len(c.header.rest) > 0)
	c.responding.Store(false)
	c.header.tail, c.header.blank, c.header.body, c.header.expected, c.header.beyond = 0, false, 0, 0, false
	if b := c.listener.options.Headers; b == nil || tail == 0 {
		return
	} else if !b.TryAcquire(tail) {
		c.listener.count(reasonHeader)
		_ = c.Close()
		return
	}
	c.charged.Add(tail)
}

func (c *Conn) releaseHeader() {
	if b := c.listener.options.Headers; b != nil {
		b.Release(c.charged.Swap(0))
	}
}
