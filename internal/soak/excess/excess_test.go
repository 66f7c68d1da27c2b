package excess

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/platform/standin"
)

// testTimeout is reached only by a hang.
const testTimeout = 20 * time.Second

// listen returns an address and the first connection that is accepted there.
func listen(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		accepted <- c
	}()
	return l.Addr().String(), accepted
}

// start runs one connection of a client and returns the server's end of it, and the function that stops the client and
// waits for it.
func start(t *testing.T, client Client, totals *Totals) (net.Conn, func()) {
	t.Helper()
	address, accepted := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, address, "x", 1, client, totals)
	}()
	c := <-accepted
	t.Cleanup(func() { _ = c.Close() })
	return c, func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("the client does not end")
		}
	}
}

// A client that sends sound requests would prove nothing: the body must be a byte short, and must not end.
func TestBodyStopsShort(t *testing.T) {
	var totals Totals
	c, stop := start(t, ShortBody, &totals)
	r, err := http.ReadRequest(bufio.NewReader(c))
	assert.NilError(t, err)
	assert.Equal(t, r.ContentLength, int64(bodyBytes))
	assert.Equal(t, r.Host, standin.Host)
	n, err := io.CopyN(io.Discard, r.Body, bodyBytes-1)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(bodyBytes-1))
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = r.Body.Read(make([]byte, 1))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	stop()
	assert.Equal(t, totals.Connections.Load(), int64(1))
	assert.Assert(t, totals.Bytes.Load() > bodyBytes)
}

// A header that ends would be a request within the limits.
func TestHeaderDoesNotEnd(t *testing.T) {
	c, stop := start(t, EndlessHeader, &Totals{})
	defer stop()
	data := make([]byte, 100_000)
	_, err := io.ReadFull(c, data)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(data), "GET "+standin.LookupPath))
	assert.Assert(t, !strings.Contains(string(data), "\r\n\r\n"))
}

// Requests with the same ID would count as retries of one, and responses that are read would take no memory.
func TestPipelinedRequestsDifferAndResponsesStayUnread(t *testing.T) {
	c, stop := start(t, UnreadResponses, &Totals{})
	reader := bufio.NewReader(c)
	ids := map[string]bool{}
	for range 50 {
		r, err := http.ReadRequest(reader)
		assert.NilError(t, err)
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer "+standin.Key)
		ids[standin.RequestId(r.Header)] = true
	}
	assert.Equal(t, len(ids), 50)
	// The client never reads, so that the buffers between the two fill up.
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := c.Write(make([]byte, 64<<20))
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
	stop()
}

// Connections that a process closes must come back while the fault lasts, and none may stay after it.
func TestConnectionsAreOpenedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var totals Totals
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, l.Addr().String(), "x", 1, ShortBody, &totals)
	}()
	for range 2 {
		c, err := l.Accept()
		assert.NilError(t, err)
		_ = c.Close()
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the connections do not end")
	}
	assert.Assert(t, totals.Connections.Load() >= 2)
}
