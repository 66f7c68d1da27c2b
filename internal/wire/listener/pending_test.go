package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// gatedListener accepts connections whose reads wait for a token, as those of a process that does not run do.
type gatedListener struct {
	net.Listener
	tokens chan struct{}
}

// gatedConn is a connection of a gatedListener.
type gatedConn struct {
	*net.TCPConn
	tokens chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c.(*net.TCPConn), l.tokens}, nil
}

// Read implements net.Conn.
func (c gatedConn) Read(p []byte) (int, error) {
	<-c.tokens
	return c.TCPConn.Read(p)
}

// Guards against a request that is dropped because a busy process closes idle connections before it has read what they have received.
func TestRequestThatHasArrivedOnAnIdleConnectionIsAnswered(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tokens := make(chan struct{}, 64)
	l, err := listener.New(gatedListener{inner, tokens}, listener.Options{MaxConnections: 4, HTTP: true})
	assert.NilError(t, err)
	idle := make(chan struct{}, 1)
	server := &http.Server{ConnContext: l.ConnContext, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		l.ConnState(c, s)
		if s == http.StateIdle {
			idle <- struct{}{}
		}
	}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	defer close(tokens)
	c, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(c)
	send := func() {
		_, err := c.Write([]byte(request))
		assert.NilError(t, err)
	}
	receive := func() *http.Response {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		return resp
	}
	// One read gets the header, and a second waits in the background for the caller to leave.
	tokens <- struct{}{}
	tokens <- struct{}{}
	send()
	assert.Equal(t, receive().StatusCode, http.StatusOK)
	<-idle
	send()
	server.SetKeepAlivesEnabled(false)
	for range 8 {
		tokens <- struct{}{}
	}
	resp := receive()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
	for l.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against connections that stay open for ever: those that end within the first bytes of a request were taken for ones with a
// request in progress.
func TestConnectionThatEndsWithinTheFirstBytesOfARequestIsClosed(t *testing.T) {
	for _, sent := range []string{"\r\n", "GET", request + "\r\n", request + "GET"} {
		synctest.Test(t, func(t *testing.T) {
			inner, l := serve(t, listener.Options{MaxConnections: 4}, ok)
			c := inner.dial("::1")
			go func() { _, _ = io.Copy(io.Discard, c) }()
			send(t, c, sent)
			assert.NilError(t, c.Close())
			time.Sleep(time.Minute)
			assert.Equal(t, l.Open(), 0, "after %q", sent)
		})
	}
}

// Guards against a stop that ends before a request that began to arrive on an idle connection has been answered.
func TestDrainWaitsForARequestThatHasBegunToArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lasts = 3 * time.Second
		inner := newPipeListener()
		l, err := listener.New(inner, listener.Options{MaxConnections: 4, HTTP: true})
		assert.NilError(t, err)
		var requests listener.Requests
		slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(lasts) })
		server := &http.Server{Handler: requests.Count(slow), ConnState: l.ConnState, ConnContext: l.ConnContext}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		c := inner.dial("::1")
		send(t, c, request)
		assert.Equal(t, status(t, c), http.StatusOK)
		send(t, c, request[:3])
		assert.NilError(t, l.Close())
		began, drained := time.Now(), make(chan error)
		go func() { drained <- l.Drain(t.Context(), server, &requests) }()
		time.Sleep(100 * time.Millisecond)
		send(t, c, request[3:])
		go func() { _, _ = io.Copy(io.Discard, c) }()
		assert.NilError(t, <-drained)
		assert.Assert(t, time.Since(began) >= lasts, "stopped after %s", time.Since(began))
	})
}
