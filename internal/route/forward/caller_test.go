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
