package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// Guards against responses that are lost on their way because the connection is closed with a further request unread: the operating
// system then resets it.
func TestLastResponseArrivesAlthoughAnotherRequestWasSent(t *testing.T) {
	const size = 200 << 10
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l, err := listener.New(inner, listener.Options{Name: "ahead", MaxConnections: 10, HTTP: true, SocketBuffer: 128 << 10})
	assert.NilError(t, err)
	began, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, ConnContext: l.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-began
	_, err = io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(release)
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(1<<20))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
}

// Guards against connections that stay open for callers that neither read their last response nor leave.
func TestLastResponseIsAwaitedForALimitedTime(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l, err := listener.New(inner, listener.Options{Name: "unread", MaxConnections: 10, HTTP: true, SocketBuffer: 128 << 10})
	assert.NilError(t, err)
	server := &http.Server{ConnState: l.ConnState, ConnContext: l.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", 200<<10))
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, l.Open(), 1)
	for deadline := time.Now().Add(10 * time.Second); l.Open() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}
