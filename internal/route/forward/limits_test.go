package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// smallMemory is the memory for bodies in an entry process with 64 MiB.
var smallMemory = forward.Memory{Requests: 16 << 20, ShortRequests: 4 << 20, Responses: 8 << 20, ShortResponses: 4 << 20}

// behindListener returns a function that starts a server behind a listener with limits, as an entry process does.
func behindListener(t *testing.T) func(http.Handler) *httptest.Server {
	t.Helper()
	return func(h http.Handler) *httptest.Server {
		headers, err := listener.NewBudget("headers", 8<<20, nil)
		assert.NilError(t, err)
		s := httptest.NewUnstartedServer(listener.LimitBodies(testTimeout)(h))
		l, err := listener.New(s.Listener, listener.Options{MaxConnections: 10, HTTP: true, Headers: headers, WriteTimeout: testTimeout, SocketBuffer: 16 << 10})
		assert.NilError(t, err)
		s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, l.ConnContext
		s.Start()
		return s
	}
}

func dial(t *testing.T, f *fixture) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// Guards against limits for all callers together that refuse a request within the limits of one: a header of 16,384 bytes with
// about 4,000 fields, and a body of 4 MiB, with a length and in chunks.
func TestLargestRequestIsServed(t *testing.T) {
	const headerBytes, bodyBytes = 16 << 10, 4 << 20
	body := strings.Repeat("x", bodyBytes)
	for name, form := range map[string]struct{ field, body string }{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), body},
		"chunks": {"Transfer-Encoding: chunked\r\n", strings.Repeat("400\r\n"+body[:0x400]+"\r\n", bodyBytes/0x400) + "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			u := withTestUpstream(t, respond(http.StatusOK, "whole"))
			f := withLimitedEntry(t, behindListener(t), func(o *forward.Options) { o.Memory = smallMemory }, u)
			f.limitBodies(bodyBytes)
			c := dial(t, f)
			begin := "POST /many/x HTTP/1.1\r\nHost: h.test\r\n" + desired.HeaderKey + ": k1\r\n" + form.field
			header := begin + strings.Repeat("a:\r\n", (headerBytes-len(begin)-2)/4) + "\r\n"
			_, err := io.WriteString(c, header+form.body)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against callers that hold a request open by sending nothing more of its body until the deadline, and against a limit
// that ends bodies which come slowly.
func TestBodyWithoutProgressIsRejected(t *testing.T) {
	const bodyTimeout, parts = 500 * time.Millisecond, 8
	u := withTestUpstream(t, respond(http.StatusOK, "whole"))
	f := withLimitedEntry(t, behindListener(t), func(o *forward.Options) { o.BodyTimeout = bodyTimeout }, u)
	for want, sent := range map[int]int{http.StatusOK: parts, http.StatusRequestTimeout: parts - 1} {
		c := dial(t, f)
		_, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nContent-Length: %d\r\n\r\n", desired.HeaderKey, parts)
		assert.NilError(t, err)
		for range sent {
			time.Sleep(bodyTimeout / 4)
			_, err = io.WriteString(c, "x")
			assert.NilError(t, err)
		}
		if sent < parts {
			// Without the time limit, this part would complete the body. The deadline of the route is 8 s.
			time.Sleep(4 * bodyTimeout)
			_, _ = io.WriteString(c, "x")
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want)
	}
	assert.Equal(t, u.count(), 1, "a request whose body is incomplete was sent")
}

// Guards against callers that do not read their responses and so take the memory for those of all others: the responses of
// others were lost.
func TestStalledReadersDoNotKeepOutOthers(t *testing.T) {
	const long = 3 << 20
	u := withTestUpstream(t, respond(http.StatusOK, strings.Repeat("x", long)))
	f := withLimitedEntry(t, behindListener(t), func(o *forward.Options) {
		o.Memory = forward.Memory{Responses: long + long/2}
	}, u)
	stalled := dial(t, f)
	_, err := fmt.Fprintf(stalled, "POST /many/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nContent-Length: 0\r\n\r\n", desired.HeaderKey)
	assert.NilError(t, err)
	_, err = io.ReadFull(stalled, make([]byte, 1))
	assert.NilError(t, err)
	other := f.post(t, "/many/x")
	assert.Equal(t, other.status, http.StatusOK)
	assert.Equal(t, len(other.body), long)
}

// Guards against callers that do not read their responses and so hold the slots of upstreams that have finished: others were
// refused as if the upstream had no room.
func TestStalledReadersHoldNoSlots(t *testing.T) {
	const slots, long = 4, 3 << 20
	u := withTestUpstream(t, respond(http.StatusOK, strings.Repeat("x", long)))
	f := withLimitedEntry(t, behindListener(t), func(o *forward.Options) {
		o.Memory = forward.Memory{Responses: 8 * long}
	}, u)
	for range slots {
		stalled := dial(t, f)
		_, err := fmt.Fprintf(stalled, "POST /many/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nContent-Length: 0\r\n\r\n", desired.HeaderKey)
		assert.NilError(t, err)
		_, err = io.ReadFull(stalled, make([]byte, 1))
		assert.NilError(t, err)
	}
	other := f.post(t, "/many/x")
	assert.Equal(t, other.status, http.StatusOK, other.body)
}

// Guards against callers that send requests ahead and do not read, whose responses took the memory for which others waited.
func TestRequestsSentAheadLetOthersHaveMemoryFirst(t *testing.T) {
	const long = 3 << 20
	const callers = 3
	u := withTestUpstream(t, respond(http.StatusOK, strings.Repeat("x", long)))
	f := withLimitedEntry(t, behindListener(t), func(o *forward.Options) {
		o.Memory = forward.Memory{Responses: long + long/2}
	}, u)
	request := fmt.Sprintf("POST /many/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nContent-Length: 0\r\n\r\n", desired.HeaderKey)
	stalled := dial(t, f)
	_, err := io.WriteString(stalled, request)
	assert.NilError(t, err)
	_, err = io.ReadFull(stalled, make([]byte, 1))
	assert.NilError(t, err)
	for range callers {
		_, err = io.WriteString(dial(t, f), "GET /nowhere HTTP/1.1\r\nHost: h.test\r\n\r\n"+request)
		assert.NilError(t, err)
	}
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, u.count(), 1+callers)
	other := f.post(t, "/many/x")
	assert.Equal(t, other.status, http.StatusOK)
	assert.Equal(t, len(other.body), long)
	assert.Equal(t, u.count(), 1+callers+1, "the response was lost and the request sent again")
}
