package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// Guards against long headers of responses, kept while their callers read slowly, that no memory is held for.
func TestLongHeadersOfResponsesAreHeldInTheirMemory(t *testing.T) {
	respondWith := func(field string) *upstream {
		return withTestUpstream(t, func(_ *http.Request, c net.Conn) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nField: "+field+"\r\nContent-Length: 5\r\n\r\nwhole")
			return err == nil
		})
	}
	limit := func(o *forward.Options) { o.Memory = forward.Memory{Responses: 100 << 10} }
	usual := withFixtureOptions(t, fixtureOptions{limit: limit}, respondWith("x"))
	assert.Equal(t, usual.post(t, "/once/x").status, http.StatusOK)
	long := withFixtureOptions(t, fixtureOptions{limit: limit}, respondWith(strings.Repeat("x", 100<<10)))
	assert.Equal(t, long.post(t, "/once/x").status, http.StatusBadGateway)
}
