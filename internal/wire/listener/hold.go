package listener

import (
	"context"
	"net"
	"net/http"
	"time"
)

type contextKey struct{}

// ConnContext is the hook of http.Server that makes the connection known to FromContext.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	return ctx
}

// FromContext returns the connection of a request, nil if it is not one of a Listener. The methods Acquire, Release,
// Receive, SentAhead and Displaced may be called on nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// LimitBodies returns a middleware for the requests of an http.Server: the body of a request must make progress within
// timeout. It applies also to the part of a body that the handler does not read, which http.Server discards. A handler that
// sets read deadlines of its own replaces the timeout.
func LimitBodies(timeout time.Duration) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				FromContext(r.Context()).Receive(r.ContentLength)
				// Without a deadline the caller could hold the connection, which is closed instead.
				if http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) != nil {
					panic(http.ErrAbortHandler)
				}
			}
			next.ServeHTTP(w, r)
		})
	}
}

// Receive marks the start of the receipt of a body of the given length, -1 if it is sent in chunks, and returns a function that
// marks its end. The end of the request marks it too. A connection whose peer stops sending meanwhile may be closed in favour of
// others.
func (c *Conn) Receive(length int64) (end func()) {
	if c == nil {
		return func() {}
	}
	c.header.expected = length
	c.unmarked.Store(0)
	c.progress()
	c.receiving.Store(true)
	return func() { c.receiving.Store(false) }
}

// SentAhead reports whether the request in progress began to arrive before the response to the previous one on the connection
// began. A request after one with a body in chunks counts only if its beginning was not received together with the end of
// that body.
func (c *Conn) SentAhead() bool { return c != nil && c.sentAhead.Load() }

// Displaced reports whether the listener has ended the connection to keep to its limits.
func (c *Conn) Displaced() bool { return c != nil && c.displaced.Load() }

// Acquire acquires n bytes of b that are held for the connection. If they are not free, it waits for up to wait, at the place p, and
// closes stalled connections that hold memory.
func (c *Conn) Acquire(ctx context.Context, b *Budget, p Place, n int64, wait time.Duration) bool {
	if c == nil {
		return b.acquire(ctx, p, n, wait, nil)
	}
	reclaim := func() bool {
		c.listener.reclaim(func(other *Conn) bool { return other != c && other.held.Load() > 0 })
		return !c.closed.Load()
	}
	if !b.acquire(ctx, p, n, wait, reclaim) {
		return false
	}
	c.held.Add(n)
	return true
}

// Release returns n bytes of b that Acquire has acquired.
func (c *Conn) Release(b *Budget, n int64) {
	b.Release(n)
	if c != nil {
		c.held.Add(-n)
	}
}
