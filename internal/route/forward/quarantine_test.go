package forward_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// crashUnder returns a script that ends the connection after the head of the response to a request with a part, and
// sends complete streams otherwise.
func crashUnder(part string) script {
	return func(r *http.Request, c net.Conn) bool {
		if r.Header.Get(desired.HeaderParts) != part {
			return events(3, true)(r, c)
		}
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		return false
	}
}

// Guards against requests of one kind that crash one upstream after the other.
func TestRequestsUnderWhichUpstreamsCrashAreRefused(t *testing.T) {
	var upstreams []*upstream
	for range 8 {
		upstreams = append(upstreams, withTestUpstream(t, crashUnder("shared deadly")))
	}
	f := withTestEntry(t, upstreams...)
	send := func(parts string) reply {
		return f.call(t.Context(), t, http.MethodPost, "/stream/x", http.Header{desired.HeaderParts: {parts}})
	}
	for range 10 {
		deadly := send("shared deadly")
		assert.Assert(t, deadly.status == http.StatusBadGateway || deadly.status == http.StatusServiceUnavailable && deadly.header.Get("Retry-After") != "", "status %d", deadly.status)
		sound := send("shared")
		assert.Equal(t, sound.status, http.StatusOK)
		assert.Equal(t, sound.body, completeStream(3))
	}
	crashes := 0
	for _, u := range upstreams {
		for i := range u.count() {
			if u.request(i).Header.Get(desired.HeaderParts) == "shared deadly" {
				crashes++
			}
		}
	}
	assert.Assert(t, crashes <= 5, "%d requests with the part were sent", crashes)
}
