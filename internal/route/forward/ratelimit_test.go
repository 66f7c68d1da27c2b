package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// limitedTo responds like an upstream that names a rate limit.
func limitedTo(perSecond string) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 200, fmt.Sprintf("%s: %s\r\nContent-Length: 4\r\n\r\ndone", desired.HeaderRateLimit, perSecond)))
		return true
	}
}

// limitedUntil responds like an upstream that names a rate limit in its first n responses.
func limitedUntil(n int, perSecond string) script {
	limited, unlimited := limitedTo(perSecond), respond(200, "done")
	responses := 0
	return func(r *http.Request, c net.Conn) bool {
		responses++
		if responses <= n {
			return limited(r, c)
		}
		return unlimited(r, c)
	}
}

// Requests beyond the rate limits of all upstreams are refused at once, and their callers are told when the next may run.
func TestRequestsBeyondTheRateLimitAreRefusedAtOnce(t *testing.T) {
	u := withTestUpstream(t, limitedTo("0.5"))
	f := withTestEntry(t, u)
	started := time.Now()
	for range 20 {
		got := f.post(t, "/once/")
		if got.status == 200 {
			continue
		}
		assert.Equal(t, got.status, 503)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 1, "callers are told to return after %g s", after)
	}
	// A request of this route may wait for 250 ms.
	assert.Assert(t, time.Since(started) < 18*250*time.Millisecond, "refusals took %v", time.Since(started))
	assert.Assert(t, u.count() <= 2, "%d requests reached an upstream that takes one in 2 s", u.count())
}

// A limit holds for as long as the upstream names it.
func TestRateLimitEndsWithTheFirstResponseThatNamesNone(t *testing.T) {
	u := withTestUpstream(t, limitedUntil(2, "4"))
	f := withTestEntry(t, u)
	deadline := time.Now().Add(testTimeout)
	for u.count() < 20 && time.Now().Before(deadline) {
		f.post(t, "/once/")
	}
	assert.Equal(t, u.count(), 20)
}

// Values that are not a rate name no limit.
func TestUnreadableRateLimitIsNone(t *testing.T) {
	for _, value := range []string{"", "many", "NaN", "-1", "Inf"} {
		u := withTestUpstream(t, limitedTo(value))
		f := withTestEntry(t, u)
		for range 5 {
			assert.Equal(t, f.post(t, "/once/").status, 200, "limit %q", value)
		}
	}
}
