package listener_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// grace exceeds the time for which a connection without progress is kept at a limit.
const grace = 3 * time.Second

// pipeListener accepts connections in memory, which package synctest can wait for.
type pipeListener struct {
	accept chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// addressedConn is a connection from an IP address.
type addressedConn struct {
	net.Conn
	ip string
}

func (c addressedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.ip), Port: 1} }

// dial connects from an IP address and waits until the connection has been accepted or closed.
func (l *pipeListener) dial(ip string) net.Conn {
	client, server := net.Pipe()
	l.accept <- addressedConn{server, ip}
	synctest.Wait()
	return client
}

// isOpen reports whether the connection has not been closed by its peer, which sends nothing on it.
func isOpen(t *testing.T, c net.Conn) bool {
	t.Helper()
	if c.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// serve starts an HTTP server with handler on a listener with the options o.
func serve(t *testing.T, o listener.Options, handler http.HandlerFunc) (*pipeListener, *listener.Listener) {
	t.Helper()
	inner := newPipeListener()
	o.HTTP = true
	l, err := listener.New(inner, o)
	assert.NilError(t, err)
	s := &http.Server{Handler: handler, ConnState: l.ConnState, ConnContext: l.ConnContext}
	go func() { _ = s.Serve(l) }()
	// After an error, http.Server waits before it closes a connection.
	t.Cleanup(func() { _ = s.Close(); time.Sleep(time.Second) })
	return inner, l
}

func ok(http.ResponseWriter, *http.Request) {}

// send sends text and waits until the server has processed it.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
	synctest.Wait()
}

func status(t *testing.T, c net.Conn) int {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	return r.StatusCode
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a crowd of connections that keeps all callers out, and against the connection of a caller that was served
// being closed before those that have sent nothing.
func TestNewConnectionsReplaceThoseWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, l := serve(t, listener.Options{MaxConnections: 3}, ok)
		served := inner.dial("::1")
		send(t, served, request)
		assert.Equal(t, status(t, served), http.StatusOK)
		unused := inner.dial("::1")
		partial := inner.dial("::1")
		send(t, partial, "GET / HTTP/1.1\r\n")
		early := inner.dial("::1")
		assert.Assert(t, !isOpen(t, early) && isOpen(t, unused) && isOpen(t, partial), "a connection displaced others that were just opened")
		time.Sleep(grace)
		first := inner.dial("::1")
		assert.Assert(t, !isOpen(t, partial) && isOpen(t, unused) && isOpen(t, served))
		second := inner.dial("::1")
		assert.Assert(t, !isOpen(t, unused) && isOpen(t, served) && isOpen(t, first) && isOpen(t, second))
		assert.Equal(t, l.Open(), 3)
		assert.Equal(t, l.Closed(), int64(3))
	})
}

// Guards against requests in progress that are cut because others connect: one that waits for its response, and one whose
// body advances. One whose body does not advance yields.
func TestRequestsThatAdvanceAreNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := make(chan struct{})
		inner, _ := serve(t, listener.Options{MaxConnections: 3}, func(_ http.ResponseWriter, r *http.Request) {
			if r.ContentLength == 0 {
				<-answer
				return
			}
			defer listener.FromContext(r.Context()).Receive(r.ContentLength)()
			_, _ = io.Copy(io.Discard, r.Body)
		})
		waiting, advancing, stalled := inner.dial("::1"), inner.dial("::1"), inner.dial("::1")
		send(t, waiting, request)
		for _, c := range []net.Conn{advancing, stalled} {
			send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
		}
		time.Sleep(grace)
		send(t, advancing, strings.Repeat("x", 8<<10))
		send(t, stalled, "x")
		added := inner.dial("::1")
		for name, c := range map[string]net.Conn{"waiting": waiting, "advancing": advancing, "added": added} {
			assert.Check(t, isOpen(t, c), name)
		}
		assert.Check(t, !isOpen(t, stalled))
		close(answer)
		assert.NilError(t, waiting.SetDeadline(time.Now().Add(time.Minute)))
		assert.Equal(t, status(t, waiting), http.StatusOK)
	})
}

// Guards against one address that takes all connections.
func TestAnAddressReplacesItsOwnConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, l := serve(t, listener.Options{MaxConnections: 10, MaxPerAddress: 2}, ok)
		other := inner.dial("::2")
		first, second := inner.dial("::1"), inner.dial("::1")
		time.Sleep(grace)
		third := inner.dial("::1")
		assert.Assert(t, isOpen(t, third) && isOpen(t, other))
		assert.Assert(t, isOpen(t, first) != isOpen(t, second))
		assert.Equal(t, l.Open(), 3)
	})
}

// Guards against a crowd that keeps all connections by opening new ones all the time.
func TestACrowdThatReconnectsDoesNotKeepOutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, _ := serve(t, listener.Options{MaxConnections: 3}, ok)
		for range 3 {
			inner.dial("::1")
		}
		other := inner.dial("::2")
		assert.Assert(t, isOpen(t, other))
		again := inner.dial("::1")
		assert.Assert(t, !isOpen(t, again) && isOpen(t, other))
	})
}

// Guards against callers that hold a connection by never sending the rest of a body that the handler does not read.
func TestUnreadBodiesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 5 * time.Second
		handler := listener.LimitBodies(timeout)(http.HandlerFunc(ok))
		inner, l := serve(t, listener.Options{MaxConnections: 3}, handler.ServeHTTP)
		c := inner.dial("::1")
		send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nbegin")
		go func() { _, _ = io.Copy(io.Discard, c) }()
		time.Sleep(2 * timeout)
		assert.Equal(t, l.Open(), 0)
	})
}

// Guards against connections of known peers that are closed in favour of connections from unknown callers.
func TestKeptConnectionsAreNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newPipeListener()
		l, err := listener.New(inner, listener.Options{MaxConnections: 2})
		assert.NilError(t, err)
		defer l.Close()
		go func() {
			for i := 0; ; i++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if i == 0 {
					c.(*listener.Conn).Keep()
				}
			}
		}()
		kept, unknown := inner.dial("::1"), inner.dial("::1")
		time.Sleep(grace)
		added := inner.dial("::1")
		assert.Assert(t, isOpen(t, kept) && isOpen(t, added) && !isOpen(t, unknown))
	})
}

// Guards against peers that do not read what is sent to them: the writer would wait without end. A peer that reads slowly is
// served.
func TestUnreadResponsesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		inner, l := serve(t, listener.Options{MaxConnections: 3, WriteTimeout: 10 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 1<<20))
			ended <- err
		})
		slow := inner.dial("::1")
		send(t, slow, request)
		assert.NilError(t, slow.SetDeadline(time.Time{}))
		received := 0
		for received < 1<<20 {
			time.Sleep(5 * time.Second)
			n, err := io.ReadAtLeast(slow, make([]byte, 16<<10), 16<<10)
			assert.NilError(t, err)
			received += n
		}
		go func() { _, _ = io.Copy(io.Discard, slow) }()
		assert.NilError(t, <-ended)
		stalled := inner.dial("::1")
		send(t, stalled, request)
		assert.Assert(t, <-ended != nil)
		assert.Equal(t, l.Closed(), int64(1))
	})
}

// Guards against limits that are missing or contradict each other.
func TestInvalidOptions(t *testing.T) {
	b, err := listener.NewBudget("headers", 1, nil)
	assert.NilError(t, err)
	for _, o := range []listener.Options{{}, {MaxConnections: -1}, {MaxConnections: 1, MaxPerAddress: -1}, {MaxConnections: 1, Headers: b}} {
		_, err := listener.New(newPipeListener(), o)
		assert.ErrorIs(t, err, listener.ErrOptions)
	}
	_, err = listener.NewBudget("headers", 0, nil)
	assert.ErrorIs(t, err, listener.ErrBudget)
}

func TestMetricsShowTheLimits(t *testing.T) {
	set := metrics.NewSet()
	_, err := listener.New(newPipeListener(), listener.Options{Name: "callers", MaxConnections: 7, Metrics: set})
	assert.NilError(t, err)
	_, err = listener.NewBudget("bodies", 5, set)
	assert.NilError(t, err)
	var out strings.Builder
	set.WritePrometheus(&out)
	for _, want := range []string{
		`oriolehub_listener_connections_limit{listener="callers"} 7`, `oriolehub_listener_closed_total{listener="callers",reason="refused"} 0`,
		`oriolehub_budget_limit_bytes{budget="bodies"} 5`, `oriolehub_budget_refused_total{budget="bodies"} 0`,
	} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}
