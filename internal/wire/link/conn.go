package link

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// conn is a connection of a limiter. It charges for the bytes received since the end of the last call, and keeps the highest
// charge, since the buffers stay with the connection.
type conn struct {
	*listener.Conn
	limiter *limiter

	mu sync.Mutex
	// received is the number of bytes received since the end of the last call, held the memory charged.
	received, held int64
	readAt         time.Time
	// known is true once a call was answered, calling while one is in progress, answering once its message was received.
	known, calling, answering, closed bool
	// idle closes the connection if it stays idle with memory held.
	idle *time.Timer
}

// Read implements net.Conn. It fails with ErrNoMemory if there is no memory for the message.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.account(int64(n)) {
		c.limiter.countRefusal()
		_ = c.Close()
		return 0, ErrNoMemory
	}
	return n, err
}

// account charges for n received bytes.
func (c *conn) account(n int64) bool {
	c.mu.Lock()
	begun := c.received > freeBytes
	c.received += n
	c.readAt = time.Now()
	missing := int64(0)
	if c.received > freeBytes {
		missing = c.received*memoryFactor - c.held
		if !begun {
			_ = c.SetReadDeadline(c.readAt.Add(messageTimeout))
		}
	}
	c.mu.Unlock()
	return missing <= 0 || c.charge(missing)
}

// charge acquires n bytes. If they are not free, it closes connections that may yield, and waits.
func (c *conn) charge(n int64) bool {
	for deadline := time.Now().Add(memoryTimeout); !c.tryCharge(n); time.Sleep(retryInterval) {
		if c.isClosed() || time.Now().After(deadline) {
			return false
		}
		c.limiter.reclaim(c)
	}
	return true
}

func (c *conn) tryCharge(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.limiter
	if c.closed || !l.memory.TryAcquire(n) {
		return false
	}
	if !c.known && !l.unknown.TryAcquire(n) {
		l.memory.Release(n)
		return false
	}
	if c.held == 0 {
		l.mu.Lock()
		l.holders[c] = struct{}{}
		l.mu.Unlock()
	}
	c.held += n
	return true
}

// setKnown marks the peer as known: its connection is not closed in favour of others while it is used.
func (c *conn) setKnown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known || c.closed {
		return
	}
	c.known = true
	c.limiter.unknown.Release(c.held)
	c.Keep()
}

func (c *conn) isKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// standing returns the place of c in the order in which connections are closed, and the memory that this frees.
func (c *conn) standing(now time.Time) (rank int, held int64) {
	// The lock order is that of a connection before that of its limiter, which is held here.
	if !c.mu.TryLock() {
		return rankNever, 0
	}
	defer c.mu.Unlock()
	silence := now.Sub(c.readAt)
	switch {
	case c.closed:
		return rankNever, 0
	case !c.known && !c.answering && silence > stallTime:
		return rankStalled, c.held
	case !c.calling && c.received <= freeBytes && silence > stallTime, !c.answering && silence > knownStallTime:
		return rankIdle, c.held
	case !c.known:
		return rankUnknown, c.held
	default:
		return rankNever, 0
	}
}

// begin notes that a call is in progress.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calling = true
	if c.idle != nil {
		c.idle.Stop()
	}
}

// end notes the end of a call. A connection that holds memory is closed if it then stays idle.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calling, c.answering, c.received = false, false, 0
	_ = c.SetReadDeadline(time.Time{})
	if c.held > 0 && !c.closed {
		c.idle = time.AfterFunc(idleRetention, c.closeIdle)
	}
}

// closeIdle closes the connection unless it is used.
func (c *conn) closeIdle() {
	c.mu.Lock()
	idle := !c.calling && c.received <= freeBytes && time.Since(c.readAt) >= stallTime
	if !idle && !c.calling && !c.closed {
		c.idle.Reset(idleRetention)
	}
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// Close closes the connection and releases the memory held for it.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.limiter.memory.Release(c.held)
		if !c.known {
			c.limiter.unknown.Release(c.held)
		}
		c.held = 0
		if c.idle != nil {
			c.idle.Stop()
		}
		c.limiter.mu.Lock()
		delete(c.limiter.holders, c)
		c.limiter.mu.Unlock()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// connOf returns the limited connection that carries a call, nil if there is none.
func connOf(ctx context.Context) (c *conn, secure bool) {
	transport, _ := drpcctx.Transport(ctx)
	for {
		switch t := transport.(type) {
		case *conn:
			return t, secure
		case *countedConn:
			transport = t.Conn
		case interface{ NetConn() net.Conn }: // A connection of package crypto/tls.
			transport, secure = t.NetConn(), true
		default:
			return nil, false
		}
	}
}

// limitedHandler tells the connections of a limiter about their calls.
type limitedHandler struct{ next drpc.Handler }

// HandleRPC passes the call on. A peer is known once it got a response to a call or, on a connection with TLS, once its
// certificate was verified.
func (h limitedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	c, secure := connOf(stream.Context())
	if c == nil {
		return h.next.HandleRPC(stream, rpc)
	}
	if secure {
		c.setKnown()
	}
	c.begin()
	defer c.end()
	return h.next.HandleRPC(&limitedStream{Stream: stream, conn: c}, rpc)
}

// limitedStream limits the time for the receipt of a message and notes the first response.
type limitedStream struct {
	drpc.Stream
	conn *conn
}

// MsgRecv receives a message. If it is not complete after messageTimeout, the connection is closed.
func (s *limitedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	_ = s.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	err := s.Stream.MsgRecv(msg, enc)
	s.conn.mu.Lock()
	s.conn.answering = err == nil
	s.conn.mu.Unlock()
	return err
}

// MsgSend sends a response.
func (s *limitedStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgSend(msg, enc)
	if err == nil {
		s.conn.setKnown()
	}
	return err
}
