package forward_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// The upstream closes the connection without a response to an at-most-once request. The request may have run, so it
// must not be sent again, and the status must not say that it has not run.
func TestLostResponseOfAtMostOnceIsNotRetried(t *testing.T) {
	a, b := withTestUpstream(t, drop), withTestUpstream(t, drop)
	f := withTestEntry(t, a, b)
	got := f.post(t, "/once/")
	assert.Equal(t, got.status, 502)
	assert.Equal(t, got.header.Get(desired.HeaderSignature), "")
	assert.Equal(t, a.count()+b.count(), 1)
}

// An upstream that refuses a request has not run it, so even an at-most-once request must be retried elsewhere. The test uses the
// fake clock, because the pause after a refusal may end before the request is sent again on a busy machine. It sends at least 6
// requests, and more until two were refused: the upstream of the first attempt is chosen at random.
func TestRefusedAtMostOnceIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		a := p.upstream(refuse)
		f := withPipedEntry(t, p, a, p.upstream(respond(200, "done")))
		for i := 0; i < 6 || a.count() < 2; i++ {
			assert.Assert(t, i < 100, "%d of %d requests were refused", a.count(), i)
			got := f.post(t, "/once/")
			assert.Equal(t, got.status, 200, got.body)
			time.Sleep(100 * time.Millisecond) // the pause after a refusal
		}
	})
}

// If all upstreams refuse a request, the response must be 503, which means that it has not run.
func TestRefusedByAllIsNotRun(t *testing.T) {
	a, b := withTestUpstream(t, refuse), withTestUpstream(t, refuse)
	f := withTestEntry(t, a, b)
	got := f.post(t, "/once/")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestLostResponseOfIdempotentIsRetried(t *testing.T) {
	a, b := withTestUpstream(t, drop), withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, a, b)
	for range 4 {
		assert.Equal(t, f.post(t, "/many/").status, 200)
	}
}

// If every upstream responds with an error, the caller must receive an upstream's error response instead of one made
// by the handler.
func TestErrorResponseIsForwardedWithSignature(t *testing.T) {
	a, b := withTestUpstream(t, respond(500, "bad")), withTestUpstream(t, respond(500, "bad"))
	f := withTestEntry(t, a, b)
	got := f.post(t, "/many/")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "bad")
	assert.Equal(t, got.header.Get(desired.HeaderSignature), "s")
	assert.Equal(t, a.count()+b.count(), 2)
}

func TestSlowIdempotentIsRetriedElsewhere(t *testing.T) {
	hang := func(_ *http.Request, c net.Conn) bool { _, _ = c.Read(make([]byte, 1)); return false }
	a, b := withTestUpstream(t, hang), withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, a, b)
	for range 4 {
		assert.Equal(t, f.post(t, "/slow/").status, 200)
	}
}

func TestInterruptedStreamIsResumedElsewhere(t *testing.T) {
	a, b := withTestUpstream(t, events(3, false)), withTestUpstream(t, events(3, false))
	complete := withTestUpstream(t, events(6, true))
	f := withTestEntry(t, a, complete)
	for range 4 {
		got := f.post(t, "/stream/")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(6))
	}
	f.list([]*upstream{a, b}, false)
	got := f.post(t, "/stream/")
	assert.Assert(t, got.err != nil, "incomplete stream ended without an error: %q", got.body)
	assert.Equal(t, got.body, completeStream(3))
}

// Guards against callers that return too soon: after a loss of power the list still shows engines with weights that they
// no longer hold, and the callers of all requests that these refuse would use up their retries before one holds them.
func TestCallersOfUpstreamsWithoutWeightsReturnLater(t *testing.T) {
	var upstreams []*upstream
	for range 40 {
		upstreams = append(upstreams, withTestUpstream(t, misdirect))
	}
	f := withTestEntry(t, upstreams...)
	got := f.post(t, "/many/")
	assert.Equal(t, got.status, 503)
	pause := hub.RetryAfter(got.header)
	assert.Assert(t, pause > time.Second && pause < 5*time.Second/3, "Retry-After %s of a request that may take 5 s", pause)
}

// Another instance responds at the address of a listed one. The listed instance must not be chosen again until a report
// shows that it serves.
func TestWrongInstanceIsNotRetried(t *testing.T) {
	other := withTestUpstream(t, misdirect)
	good := withTestUpstream(t, respond(200, "done"))
	f := withTestEntry(t, other, good)
	for range 3 {
		for range 10 {
			assert.Equal(t, f.post(t, "/once/").status, 200)
		}
		// The pause after a refusal ends; the other instance still has the address.
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, other.count() <= 1, "%d requests reached the wrong instance", other.count())
}
