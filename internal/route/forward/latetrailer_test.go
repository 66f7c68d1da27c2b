package forward_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// Guards against a body in chunks whose end is late and that is answered 400, after which callers do not come back: the end of a
// body that is cut within its last line breaks is not reported as late by net/http.
func TestLateEndOfABodyInChunksIsRejectedAsLate(t *testing.T) {
	const bodyTimeout = 500 * time.Millisecond
	for name, sent := range map[string]string{
		"within a chunk":          "4\r\nab",
		"after a chunk":           "2\r\nab\r\n",
		"within the last chunk":   "2\r\nab\r\n0",
		"after the last chunk":    "2\r\nab\r\n0\r\n",
		"within the last line":    "2\r\nab\r\n0\r\n\r",
		"after nothing":           "",
		"after an empty body":     "0\r\n",
		"within the size":         "2\r\nab\r\n1",
		"after the size, no data": "2\r\nab\r\n1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := withTestUpstream(t, respond(http.StatusOK, "done"))
			f := withLimitedEntry(t, behindListener(t), func(o *forward.Options) { o.BodyTimeout = bodyTimeout }, u)
			c := dial(t, f)
			_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nTransfer-Encoding: chunked\r\n\r\n%s", desired.HeaderKey, sent)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Equal(t, u.count(), 0, "a request whose body is incomplete was sent")
		})
	}
}
