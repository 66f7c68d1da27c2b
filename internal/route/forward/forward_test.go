package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, u)
	got := f.call(context.Background(), t, http.MethodPost, "/once/a%2Fb?x=1&y=%20", http.Header{
		desired.HeaderAccount: {"forged"}, desired.HeaderRemaining: {"900"}, "X-Other": {"kept"},
	})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "done")
	assert.Equal(t, got.header.Get(desired.HeaderSignature), "s")
	r := u.request(0)
	assert.Equal(t, r.RequestURI, "/once/a%2Fb?x=1&y=%20")
	assert.Equal(t, r.Host, "h.test")
	assert.Equal(t, r.Header.Get(desired.HeaderKey), "")
	assert.Equal(t, r.Header.Get(desired.HeaderAccount), "acme")
	assert.Equal(t, r.Header.Get(desired.HeaderInstance), "i0")
	assert.Equal(t, r.Header.Get("X-Other"), "kept")
	var left int
	_, err := fmt.Sscan(r.Header.Get(desired.HeaderRemaining), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 900, left)
}

// A request without a route, with an unknown key or with a key that has been revoked must not reach an upstream.
func TestUnauthorizedRequestIsDenied(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, u)
	assert.Equal(t, f.post(t, "/none/").status, 404)
	got := f.call(context.Background(), t, http.MethodPost, "/once/", http.Header{desired.HeaderKey: {"other"}})
	assert.Equal(t, got.status, 401)
	f.configure("k2")
	assert.Equal(t, f.post(t, "/once/").status, 401)
	assert.Equal(t, u.count(), 0)
}

func TestSuccessWithoutSignatureIsNotForwarded(t *testing.T) {
	forged := func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nRequest-Id: "+id(r)+"\r\nContent-Length: 2\r\n\r\nno")
		return true
	}
	f := withTestEntry(t, withTestUpstream(t, forged))
	assert.Equal(t, f.post(t, "/once/").status, 502)
}

func TestLeavingUpstreamsReceiveNoRequests(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, u)
	f.list([]*upstream{u}, true)
	assert.Equal(t, f.post(t, "/many/").status, 503)
	assert.Equal(t, u.count(), 0)
}

func TestRouteRegionsAreEnforced(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, u)
	assert.Equal(t, f.post(t, "/bound/").status, 503)
	assert.Equal(t, u.count(), 0)
}

// An upstream that never responds must not keep the caller waiting beyond the route's timeout. The request may have run,
// so the status must not be 503.
func TestRouteTimeout(t *testing.T) {
	u := withTestUpstream(t, func(*http.Request, net.Conn) bool { time.Sleep(testTimeout); return false })
	f := withTestEntry(t, u)
	got := f.post(t, "/once/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 504)
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	arrived := make(chan struct{})
	u := withTestUpstream(t, func(_ *http.Request, c net.Conn) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	f := withTestEntry(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	got := f.call(ctx, t, http.MethodPost, "/once/", nil)
	assert.Assert(t, got.err != nil)
	select {
	case <-u.closed:
	case <-time.After(testTimeout):
		t.Fatal("connection to the upstream was not closed after the caller disconnected")
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, u)
	r, err := http.NewRequest(http.MethodPost, f.server.URL+"/many/", strings.NewReader(strings.Repeat("x", 2000)))
	assert.NilError(t, err)
	r.Host = "h.test"
	r.Header.Set(desired.HeaderKey, "k1")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, u.count(), 0)
}
