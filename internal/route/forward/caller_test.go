package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// Guards against callers that hold a request open by never sending the rest of its body.
func TestBodyThatDoesNotArriveInTimeIsRejected(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, u)
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\n%s: 300\r\nContent-Length: 9\r\n\r\nhalf", desired.HeaderKey, desired.HeaderRemaining)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, u.count(), 0)
}

// Guards against a time limit for a body that ends the request after it, or the next one on the connection. The test uses the fake
// clock, because a request may take longer than its time limit on a busy machine.
func TestConnectionIsKeptAfterTheTimeLimitOfABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		u := p.upstream(func(r *http.Request, c net.Conn) bool {
			time.Sleep(200 * time.Millisecond)
			return respond(200, "done")(r, c)
		})
		withPipedEntry(t, p, u)
		c, err := p.connect()
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		reader := bufio.NewReader(c)
		for range 3 {
			_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\n%s: 400\r\nContent-Length: 4\r\n\r\nbody", desired.HeaderKey, desired.HeaderRemaining)
			assert.NilError(t, err)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// Guards against responses that are known at the header of a request and wait for its body beyond the time limit of the request, and
// against connections that are not kept although the body comes in time.
func TestRefusalAwaitsABodyNoLongerThanTheCallerWaits(t *testing.T) {
	const limit = 400 * time.Millisecond
	for name, tc := range map[string]struct {
		path, key, form string
		status          int
	}{
		"no route":            {"/none/x", "k1", "Content-Length: 4", http.StatusNotFound},
		"no route, chunks":    {"/none/x", "k1", "Transfer-Encoding: chunked", http.StatusNotFound},
		"unknown key":         {"/once/x", "none", "Content-Length: 4", http.StatusUnauthorized},
		"body over the limit": {"/many/x", "k1", "Content-Length: 2000", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				withPipedEntry(t, p, p.upstream(respond(200, "done")))
				c, err := p.connect()
				assert.NilError(t, err)
				defer c.Close()
				assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
				started := time.Now()
				_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.test\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n", tc.path, desired.HeaderKey, tc.key, desired.HeaderRemaining, limit.Milliseconds(), tc.form)
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, tc.status)
				assert.Equal(t, time.Since(started), limit)
				assert.Assert(t, response.Close)
			})
		})
	}
}

// Guards against a time limit for the rest of a body that ends the next request on the connection.
func TestConnectionIsKeptAfterARefusalBeforeTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		withPipedEntry(t, p, p.upstream(respond(200, "done")))
		c, err := p.connect()
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		reader := bufio.NewReader(c)
		for _, path := range []string{"/none/x", "/once/x", "/none/x", "/once/x"} {
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\n%s: 400\r\nContent-Length: 4\r\n\r\nbo", path, desired.HeaderKey, desired.HeaderRemaining)
			assert.NilError(t, err)
			time.Sleep(300 * time.Millisecond)
			_, err = io.WriteString(c, "dy")
			assert.NilError(t, err)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode == http.StatusOK, path == "/once/x")
			assert.Assert(t, !response.Close)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// Guards against an ending process that refuses a request and awaits its body before it says so.
func TestRefusalOfAnEndingProcessAwaitsNoBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := forward.NewStop()
		defer stop.Cut()
		p := withTestPipes(t)
		withLimitedEntry(t, p.serve, func(o *forward.Options) { o.Stop = stop })
		c, err := p.connect()
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nContent-Length: 4\r\n\r\nbo", desired.HeaderKey)
		assert.NilError(t, err)
		synctest.Wait()
		interrupted := time.Now()
		stop.Interrupt()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(interrupted), time.Duration(0))
	})
}
