package forward_test

import (
	"fmt"
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
	send := func(id, parts string) (int, string, http.Header) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/stream/x", http.NoBody)
		assert.NilError(t, err)
		r.Host = "h.test"
		r.Header.Set(desired.HeaderRequestId, id)
		r.Header.Set(desired.HeaderKey, "k1")
		r.Header.Set(desired.HeaderParts, parts)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(body), response.Header
	}
	for i := range 10 {
		status, _, header := send(fmt.Sprint("deadly-", i), "shared deadly")
		assert.Assert(t, status == http.StatusBadGateway || status == http.StatusServiceUnavailable && header.Get("Retry-After") != "", "status %d", status)
		status, body, _ := send(fmt.Sprint("sound-", i), "shared")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, completeStream(3))
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
