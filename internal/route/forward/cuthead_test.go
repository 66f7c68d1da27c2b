package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// cutHeadAfter writes the first n bytes of a complete response's head and closes the connection, by a reset if hard.
func cutHeadAfter(n int, more string, hard bool) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 200, more+"\r\n")[:n])
		if hard {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// Guards against an answer that ends inside its head being passed on as a success with an empty or a short body.
func TestAnswerCutInsideItsHeadIsNoSuccess(t *testing.T) {
	// otherEvery is the distance of the cuts that are also played as a reset and on a stream.
	const otherEvery = 12
	for name, more := range map[string]string{
		"length":  "Content-Length: 12\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n",
		"close":   "",
		"events":  "Content-Type: text/event-stream\r\n",
	} {
		length := len(head(&http.Request{Header: http.Header{}}, 200, more+"\r\n")) + len("req-1")
		for n := range length {
			t.Run(fmt.Sprintf("%s/%d", name, n), func(t *testing.T) {
				t.Parallel()
				hard := n%otherEvery == 0
				f := withTestEntry(t, withTestUpstream(t, cutHeadAfter(n, more, hard)))
				f.extendTimeouts()
				got := f.post(t, "/once/")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 502, got.body)
				if n%otherEvery == 1 {
					got = f.post(t, "/stream/")
					assert.Assert(t, got.err != nil || got.status >= 500, "status %d, body %q", got.status, got.body)
				}
			})
		}
	}
}
