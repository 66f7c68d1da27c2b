package channel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const testTimeout = 10 * time.Second

// upstream is a test server that responds to each request by calling script, and closes the connection when script
// returns false.
type upstream struct {
	address     string
	connections atomic.Int64
}

func withTestUpstream(t *testing.T, script func(n int, r *http.Request, w net.Conn) bool) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go serve(c, script)
		}
	}()
	return u
}

func serve(c net.Conn, script func(n int, r *http.Request, w net.Conn) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !script(n, r, c) {
			return
		}
	}
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func testCall(id string) *channel.Call {
	return &channel.Call{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h.test", Body: []byte("body"),
		Header:     http.Header{"Id": {id}},
		Mismatched: func(_ int, h http.Header) bool { return h.Get("Id") != id },
	}
}

// roundTrip sends a call and returns the complete body of its response.
func roundTrip(t *testing.T, p *channel.Pool, address string, call *channel.Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := p.Send(ctx, address, call)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	u := withTestUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	for _, id := range []string{"a", "b", "c"} {
		body, err := roundTrip(t, p, u.address, testCall(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, u.connections.Load(), int64(1))
}

func TestNewConnectionIsNotReused(t *testing.T) {
	u := withTestUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	for _, id := range []string{"a", "b"} {
		call := testCall(id)
		call.NewConnection = true
		_, err := roundTrip(t, p, u.address, call)
		assert.NilError(t, err)
	}
	assert.Equal(t, u.connections.Load(), int64(2))
}

// The upstream sends a second response to an earlier call before the response to the current one. The second response
// must be discarded and its connection not reused, or a caller would receive the response to another request.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	u := withTestUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			write(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nagain")
		}
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\n"+r.Header.Get("Id")+"!")
		return true
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	for _, id := range []string{"a", "b", "c"} {
		body, err := roundTrip(t, p, u.address, testCall(id))
		assert.NilError(t, err)
		assert.Equal(t, body, id+"!")
	}
	assert.Equal(t, u.connections.Load(), int64(2))
}

// Bytes after a complete response belong to no request and would be read as the next response, so the connection must
// not be reused.
func TestExtraBytesEndTheConnection(t *testing.T) {
	u := withTestUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nokjunk")
		return true
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	for _, id := range []string{"a", "b"} {
		body, err := roundTrip(t, p, u.address, testCall(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, u.connections.Load(), int64(2))
}

func TestTruncatedResponseIsBroken(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 20\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: a\r\nCont",
		"garbage": "\x00\x01\x02\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			u := withTestUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
				write(c, response)
				return false
			})
			_, err := roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), u.address, testCall("a"))
			assert.Assert(t, errors.Is(err, channel.ErrBroken), "%v", err)
			assert.Assert(t, !errors.Is(err, channel.ErrNotSent))
		})
	}
}

// A response without a length ends when its connection is closed; if the connection is reset instead, the response is
// incomplete.
func TestResponseWithoutLength(t *testing.T) {
	var reset atomic.Bool
	u := withTestUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		if reset.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	body, err := roundTrip(t, p, u.address, testCall("a"))
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	reset.Store(true)
	_, err = roundTrip(t, p, u.address, testCall("a"))
	assert.Assert(t, errors.Is(err, channel.ErrBroken), "%v", err)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), listener.Addr().String(), testCall("a"))
	assert.Assert(t, errors.Is(err, channel.ErrNotSent), "%v", err)
}

// The upstream closes a connection while it is idle in the pool. The next call must use a new connection, as it would
// fail on the closed one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	u := withTestUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	for _, id := range []string{"a", "b"} {
		_, err := roundTrip(t, p, u.address, testCall(id))
		assert.NilError(t, err)
		<-closed
	}
	assert.Equal(t, u.connections.Load(), int64(2))
}

func TestCancelEndsTheCall(t *testing.T) {
	closed := make(chan struct{})
	u := withTestUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
		buf := make([]byte, 1)
		_, _ = c.Read(buf)
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := channel.NewPool(socket.Dialer(testTimeout)).Send(ctx, u.address, testCall("a"))
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the upstream's connection was not closed")
	}
}

// The context is done before the call. Nothing must be sent, not even on an idle connection that needs no dialling.
func TestCancelledCallIsNotSent(t *testing.T) {
	var calls atomic.Int64
	u := withTestUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		calls.Add(1)
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	p := channel.NewPool(socket.Dialer(testTimeout))
	_, err := roundTrip(t, p, u.address, testCall("a"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		_, err := p.Send(ctx, u.address, testCall("b"))
		assert.Assert(t, errors.Is(err, channel.ErrNotSent), "%v", err)
	}
	_, err = roundTrip(t, p, u.address, testCall("c"))
	assert.NilError(t, err)
	assert.Equal(t, calls.Load(), int64(2))
}
