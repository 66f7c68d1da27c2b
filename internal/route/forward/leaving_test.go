package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// leaves responds like an upstream that is leaving.
func leaves(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, head(r, 200, desired.HeaderLeaving+": 1\r\nContent-Length: 4\r\n\r\ndone"))
	return true
}

// leavesWithRefusal refuses a request like an upstream that is leaving.
func leavesWithRefusal(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, head(r, 503, desired.HeaderLeaving+": 1\r\n"+desired.HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n"))
	return true
}

// leavesWithStream begins a stream with the header of an upstream that is leaving, and cuts it.
func leavesWithStream(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, head(r, 200, desired.HeaderLeaving+": 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	return false
}

// pause refuses a request with status 503 and asks for a pause.
func pause(retryAfter string) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 503, fmt.Sprintf("%s: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", desired.HeaderNotRun, retryAfter)))
		return true
	}
}

// An upstream that is leaving says so in each of its responses. Guards against new requests to it while the list of
// upstreams does not show that yet, and after the entry of the same run has been away from the list.
func TestUpstreamThatSaysItLeavesReceivesNoRequests(t *testing.T) {
	for name, s := range map[string]script{"answer": leaves, "refusal": leavesWithRefusal, "stream": leavesWithStream} {
		t.Run(name, func(t *testing.T) {
			a, b := withTestUpstream(t, s), withTestUpstream(t, events(2, true))
			f := withTestEntry(t, a)
			f.post(t, "/stream/")
			assert.Equal(t, a.count(), 1)
			for range 2 {
				f.list([]*upstream{a, b}, false)
				for range 10 {
					f.post(t, "/stream/")
				}
				f.list(nil, false)
			}
			assert.Equal(t, a.count(), 1, "requests reached an upstream after it had said that it is leaving")
			assert.Equal(t, b.count(), 20)
		})
	}
}

// A new run at the address of an upstream that has left is another upstream.
func TestNextRunOfLeavingUpstreamReceivesRequests(t *testing.T) {
	a := withTestUpstream(t, leaves)
	f := withTestEntry(t, a)
	assert.Equal(t, f.post(t, "/once/").status, 200)
	assert.Equal(t, f.post(t, "/once/").status, 503)
	other := withTestUpstream(t, leaves)
	f.list([]*upstream{other, a}, false)
	assert.Equal(t, f.post(t, "/once/").status, 200)
	assert.Equal(t, a.count()+other.count(), 2)
}

// An upstream that asks for a pause must not receive requests until the pause has ended. If all have asked for one, the
// caller is refused at once and told when the first of them ends.
func TestPausedUpstreamReceivesNoRequests(t *testing.T) {
	a, b := withTestUpstream(t, pause("1.5")), withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, a)
	started := time.Now()
	assert.Equal(t, f.post(t, "/once/").status, 503)
	assert.Equal(t, a.count(), 1)
	for range 20 {
		got := f.post(t, "/once/")
		assert.Equal(t, got.status, 503)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		end := time.Since(started) + time.Duration(after*float64(time.Second))
		assert.Assert(t, end >= 1500*time.Millisecond, "callers are told to return %v before the pause ends", 1500*time.Millisecond-end)
	}
	assert.Assert(t, time.Since(started) < time.Second, "refusals took %v", time.Since(started))
	assert.Equal(t, a.count(), 1, "requests reached an upstream that had asked for a pause")
	f.list([]*upstream{a, b}, false)
	assert.Equal(t, f.post(t, "/once/").status, 200)
	assert.Equal(t, a.count(), 1)
	f.list([]*upstream{a}, false)
	time.Sleep(1600*time.Millisecond - time.Since(started))
	f.post(t, "/once/")
	assert.Assert(t, a.count() > 1, "no request reached the upstream after its pause")
}

// Values that ask for no pause, or that can't be read, mean a refusal like any other. Guards against a long pause for them: the
// upstream would get no requests although the pause after a refusal has ended. The test uses the fake clock, because that pause
// may end before the request is sent again on a busy machine.
func TestUnreadablePauseIsARefusal(t *testing.T) {
	for _, value := range []string{"0", "-3", "soon", "NaN"} {
		synctest.Test(t, func(t *testing.T) {
			p := withTestPipes(t)
			a, b := p.upstream(pause(value)), p.upstream(respond(200, "done"))
			f := withPipedEntry(t, p, a)
			assert.Equal(t, f.post(t, "/once/").status, 503)
			refused := a.count()
			assert.Assert(t, refused > 0)
			time.Sleep(100 * time.Millisecond) // the pause after a refusal
			assert.Equal(t, f.post(t, "/once/").status, 503)
			assert.Assert(t, a.count() > refused, value+" counts as a pause")
			f.list([]*upstream{a, b}, false)
			assert.Equal(t, f.post(t, "/once/").status, 200)
		})
	}
}
