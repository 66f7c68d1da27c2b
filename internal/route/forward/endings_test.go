package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// partOfHeader is a number of bytes within the header of a request.
const partOfHeader = 20

// ending is a way in which a connection to an upstream ends.
type ending struct {
	name string
	// accepted ends a connection before a request is read, read after that. Only one of them is set.
	accepted func(c *net.TCPConn)
	read     script
	// dial changes how connections to this upstream are opened, nil for no change.
	dial func(socket.DialFunc) socket.DialFunc
	// afterResponse is true if the connection ends after the response to an earlier request.
	afterResponse bool
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func failing(err error) func(socket.DialFunc) socket.DialFunc {
	return func(socket.DialFunc) socket.DialFunc {
		return func(context.Context, string) (net.Conn, error) { return nil, err }
	}
}

func accepting(n int64) func(socket.DialFunc) socket.DialFunc {
	return func(dial socket.DialFunc) socket.DialFunc { return faulty.DialAccepting(dial, n) }
}

// endings lists the ways in which a connection can end, in the order of the life of a connection.
func endings() []ending {
	wait := func(*http.Request, net.Conn) bool { time.Sleep(2 * time.Second); return false }
	return []ending{
		{name: "refused", dial: failing(errors.New("connection refused"))},
		{name: "no answer to the handshake", dial: failing(context.DeadlineExceeded)},
		{name: "reset after accept, seen before the request", accepted: reset, dial: faulty.DialUntilReadable},
		{name: "closed after accept, seen before the request", accepted: func(c *net.TCPConn) { _ = c.Close() }, dial: faulty.DialUntilReadable},
		{name: "half-closed after accept, seen before the request", accepted: func(c *net.TCPConn) { _ = c.CloseWrite() }, dial: faulty.DialUntilReadable},
		{name: "bytes before the request", accepted: func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
		}, dial: faulty.DialUntilReadable},
		{name: "closed while idle", read: drop, afterResponse: true},
		{name: "reset while idle", read: func(_ *http.Request, c net.Conn) bool { reset(c.(*net.TCPConn)); return false }, afterResponse: true},
		{name: "reset before the first byte is written", accepted: func(*net.TCPConn) {}, dial: accepting(0)},
		{name: "reset while the header is written", accepted: func(*net.TCPConn) {}, dial: accepting(partOfHeader)},
		{name: "reset after the request was read", read: func(_ *http.Request, c net.Conn) bool { reset(c.(*net.TCPConn)); return false }},
		{name: "closed after the request was read", read: drop},
		{name: "half-closed after the request was read", read: func(r *http.Request, c net.Conn) bool { _ = c.(*net.TCPConn).CloseWrite(); return wait(r, c) }},
		{name: "silent", read: wait},
	}
}

// upstream starts the upstream whose connections end in this way.
func (e *ending) upstream(t *testing.T) *upstream {
	t.Helper()
	if e.accepted == nil && !e.afterResponse {
		return withTestUpstream(t, e.read)
	}
	if e.afterResponse {
		return withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
			respond(200, "done")(r, c)
			return e.read(r, c)
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.accepted(c.(*net.TCPConn))
		}
	}()
	return &upstream{listener: listener, address: listener.Addr().String()}
}

// told returns what the caller of a request to path is told, if the connection ends in this way at the preferred upstream.
// The other upstream, if any, answers.
func (e *ending) told(t *testing.T, path string, other bool) string {
	t.Helper()
	bad := e.upstream(t)
	plain := socket.Dialer(testTimeout)
	ended := plain
	if e.dial != nil {
		ended = e.dial(plain)
	}
	pool := channel.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		if address == bad.address {
			return ended(ctx, address)
		}
		return plain(ctx, address)
	})
	f := withTestPool(t, pool, bad)
	if e.afterResponse {
		assert.Equal(t, f.post(t, path).status, 200)
		<-bad.closed
	}
	if other {
		f.listAway(bad, withTestUpstream(t, respond(200, "done")))
	}
	got := f.post(t, path)
	assert.NilError(t, got.err)
	return fmt.Sprint(got.status)
}

// listAway lists upstreams of which only the first is in the region of the entry process, which prefers it for that.
func (f *fixture) listAway(upstreams ...*upstream) {
	var instances []hub.Instance
	for i, u := range upstreams {
		domain := "b"
		if i == 0 {
			domain = "a"
		}
		instances = append(instances, hub.Instance{Id: fmt.Sprintf("i%d", i), Service: "s", Address: u.address, Domain: domain, Slots: 4, Born: int64(i + 1)})
	}
	f.publisher.PublishUpstreams(instances...)
	f.refresh()
}

// Guards against a caller that is told nothing about a request of which no byte was sent, and against one that is told
// that its request has not run when that cannot be known.
func TestWhatCallersAreTold(t *testing.T) {
	list := endings()
	rows := make([]string, len(list))
	t.Run("endings", func(t *testing.T) {
		for i, e := range list {
			t.Run(e.name, func(t *testing.T) {
				t.Parallel()
				rows[i] = fmt.Sprintf("%-50s %s %s %s %s", e.name, e.told(t, "/once/", false), e.told(t, "/once/", true), e.told(t, "/many/", false), e.told(t, "/many/", true))
			})
		}
	})
	table := fmt.Sprintf("%-50s once, once with another upstream, many, many with another upstream\n", "ending") + strings.Join(rows, "\n") + "\n"
	golden.Assert(t, table, "../_fixtures/endings.golden")
}
