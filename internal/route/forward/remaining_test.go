package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/duration"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// withTestEstimates is withTestEntry with access to the estimates of response times.
func withTestEstimates(t *testing.T, upstreams ...*upstream) (*fixture, *duration.Estimates) {
	t.Helper()
	var estimates *duration.Estimates
	serve := func(h http.Handler) *httptest.Server {
		estimates = h.(*forward.Handler).Estimates()
		return httptest.NewServer(h)
	}
	return withLimitedEntry(t, serve, nil, upstreams...), estimates
}

// withPipedEstimates is withPipedEntry with access to the estimates of response times.
func withPipedEstimates(t *testing.T, p *pipes) (*fixture, *duration.Estimates) {
	t.Helper()
	var estimates *duration.Estimates
	serve := func(h http.Handler) *httptest.Server {
		estimates = h.(*forward.Handler).Estimates()
		return p.serve(h)
	}
	return withPipedServer(t, p, serve), estimates
}

// breaksOnce streams the events up to 6 and breaks off after 3 of them the first time.
func breaksOnce(r *http.Request, c net.Conn) bool {
	if r.Header.Get("Last-Event-Id") == "" {
		return events(3, false)(r, c)
	}
	return events(6, true)(r, c)
}

// unlimited responds without telling the length, so that a response that was cut looks complete.
func unlimited(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, head(r, 200, "\r\ndone"))
	return false
}

// learn records responses of a route that took d.
func learn(e *duration.Estimates, route string, d time.Duration) {
	for range 20 {
		e.Completed("s", route, d)
	}
}

// postWithin sends a request whose caller waits for the given milliseconds.
func (f *fixture) postWithin(t *testing.T, path, milliseconds string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return f.call(ctx, t, http.MethodPost, path, http.Header{desired.HeaderRemaining: {milliseconds}})
}

// after delays a script.
func after(d time.Duration, s script) script {
	return func(r *http.Request, c net.Conn) bool {
		time.Sleep(d)
		return s(r, c)
	}
}

// Guards against requests that occupy slots although they cannot be completed in time, sent for the first time or after a
// refusal. The first request is sent, once; its refusal counts as one of the 16 of which one is sent.
func TestRequestWithTooLittleTimeIsRefusedAsNotRun(t *testing.T) {
	u := withTestUpstream(t, refuse)
	var set *metrics.Set
	f := withLimitedEntry(t, func(h http.Handler) *httptest.Server {
		learn(h.(*forward.Handler).Estimates(), "many", 10*time.Second)
		return httptest.NewServer(h)
	}, func(o *forward.Options) { set = o.Metrics }, u)
	for i := range 15 {
		got := f.postWithin(t, "/many/", "4000")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Assert(t, i == 0 || strings.HasPrefix(got.body, "too little time remains for a response: "), got.body)
	}
	assert.Equal(t, u.count(), 1)
	for action, n := range map[string]uint64{"sent": 1, "not_repeated": 1, "refused": 14, "completed": 0} {
		assert.Equal(t, set.GetOrCreateCounter(`oriolehub_requests_short_of_time_total{action="`+action+`"}`).Get(), n, action)
	}
}

// Guards against refusals on routes whose responses are fast enough, or unknown, because those of another route are slow.
func TestRequestWithEnoughTimeIsSent(t *testing.T) {
	u := withTestUpstream(t, respond(200, "done"))
	f, estimates := withTestEstimates(t, u)
	learn(estimates, "many", time.Millisecond)
	learn(estimates, "once", time.Minute)
	for _, path := range []string{"/many/", "/slow/"} {
		for range 16 {
			assert.Equal(t, f.post(t, path).status, 200)
		}
	}
}

// Guards against a second attempt that cannot be completed in time, and against withholding the response to the first.
func TestErrorResponseIsDeliveredIfTooLittleTimeRemains(t *testing.T) {
	a, b := withTestUpstream(t, respond(500, "broken")), withTestUpstream(t, respond(500, "broken"))
	f, estimates := withTestEstimates(t, a, b)
	learn(estimates, "many", time.Minute)
	got := f.post(t, "/many/")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "broken")
	assert.Equal(t, a.count()+b.count(), 1)
}

// Guards against cutting a stream of which the caller has a part.
func TestBegunStreamIsContinuedWithLittleTime(t *testing.T) {
	f, estimates := withTestEstimates(t, withTestUpstream(t, breaksOnce), withTestUpstream(t, breaksOnce))
	learn(estimates, "stream", time.Minute)
	got := f.post(t, "/stream/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, completeStream(6))
}

// Guards against refusing the continuation of a stream that the caller asks for: the rest takes less time than a whole stream.
func TestContinuationByTheCallerIsSentWithLittleTime(t *testing.T) {
	f, estimates := withTestEstimates(t, withTestUpstream(t, events(6, true)))
	learn(estimates, "stream", time.Minute)
	for range 16 {
		got := f.call(t.Context(), t, http.MethodPost, "/stream/", http.Header{desired.HeaderLastEvent: {"4"}})
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, strings.TrimPrefix(completeStream(6), completeStream(4)))
	}
}

// Guards against a stalled stream that is not continued because of its remaining time.
func TestStalledStreamIsContinuedWithLittleTime(t *testing.T) {
	stallsOnce := func(r *http.Request, c net.Conn) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			return events(6, true)(r, c)
		}
		_, _ = io.WriteString(c, head(r, 200, eventStream+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n"))
		<-t.Context().Done()
		return false
	}
	f, estimates := withTestEstimates(t, withTestUpstream(t, stallsOnce), withTestUpstream(t, stallsOnce))
	learn(estimates, "stream", time.Minute)
	got := f.post(t, "/stream/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, completeStream(6))
}

// Guards against a request that waits for an upstream although it would not be sent then.
func TestRequestWithTooLittleTimeDoesNotWait(t *testing.T) {
	f, estimates := withTestEstimates(t)
	learn(estimates, "many", time.Minute)
	assert.Equal(t, estimates.Decide("s", "many", 0), duration.Probe)
	got := f.post(t, "/many/")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, strings.HasPrefix(got.body, "too little time remains for a response: "), got.body)
}

// Guards against refusing callers that wait for a short time and get short responses on a route with long ones.
func TestRequestsAreSentWhileProbesAreCompleted(t *testing.T) {
	f, estimates := withTestEstimates(t, withTestUpstream(t, respond(200, "done")))
	learn(estimates, "many", time.Minute)
	for range 20 {
		assert.Equal(t, f.post(t, "/many/").status, 200)
	}
}

// Guards against an attempt that is ended because it is late although the request would not be sent again: its response
// would be lost.
func TestLateAttemptGoesOnIfTooLittleTimeRemainsForAnother(t *testing.T) {
	s := after(600*time.Millisecond, respond(200, "done"))
	a, b := withTestUpstream(t, s), withTestUpstream(t, s)
	f, estimates := withTestEstimates(t, a, b)
	learn(estimates, "slow", time.Minute)
	got := f.post(t, "/slow/")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, a.count()+b.count(), 1)
}

// Guards against sending a request that had enough time when it arrived and has too little after its wait for an upstream. The
// test uses the fake clock: on a busy machine, the request could arrive with too little time, or wait for too short a time.
func TestRequestThatWaitedTooLongIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var once sync.Once
		endFirst := func() { once.Do(func() { close(release) }) }
		p := withTestPipes(t)
		u := p.upstream(func(r *http.Request, c net.Conn) bool {
			<-release
			return respond(200, "done")(r, c)
		})
		f, estimates := withPipedEstimates(t, p)
		t.Cleanup(endFirst)
		f.publisher.PublishConfiguration(hub.Configuration{
			Version: 2,
			Routes: []hub.Route{{
				Name: "patient", Host: "h.test", PathPrefix: "/patient/", Kind: hub.Idempotent, MaxAttempts: 1,
				Timeout: 10 * time.Second, Objective: 40 * time.Second, Targets: []hub.Target{{Service: "s", Weight: 1}},
			}},
			Services: []hub.Service{{Name: "s"}},
			Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
		})
		f.publisher.PublishUpstreams(hub.Instance{Id: "i0", Service: "s", Address: u.address, Domain: "a", Slots: 1, Born: 1})
		f.refresh()
		first, waiting := make(chan reply, 1), make(chan reply, 1)
		go func() { first <- f.post(t, "/patient/") }()
		synctest.Wait()
		assert.Equal(t, u.count(), 1)
		learn(estimates, "patient", 9*time.Second)
		assert.Equal(t, estimates.Decide("s", "patient", 0), duration.Probe)
		go func() { waiting <- f.post(t, "/patient/") }()
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(waiting), 0, "the request does not wait")
		endFirst()
		assert.Equal(t, (<-first).status, 200)
		got := <-waiting
		assert.Equal(t, got.status, 503)
		assert.Assert(t, strings.HasPrefix(got.body, "too little time remains for a response: "), got.body)
		assert.Equal(t, u.count(), 1)
	})
}

// Guards against estimates that don't follow the responses, or that errors and parts of streams make too low.
func TestEstimatesFollowCompleteResponses(t *testing.T) {
	const delay = 5 * time.Millisecond
	for _, tc := range []struct {
		name, path string
		script     script
		header     http.Header
		known      bool
	}{
		{"whole response", "many", respond(200, "done"), nil, true},
		{"stream", "stream", events(3, true), nil, true},
		{"response that ends with the connection", "many", unlimited, nil, false},
		{"error", "many", respond(404, "none"), nil, false},
		{"continuation by the caller", "stream", events(3, true), http.Header{desired.HeaderLastEvent: {"1"}}, false},
		{"continuation at another upstream", "stream", breaksOnce, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, estimates := withTestEstimates(t, withTestUpstream(t, after(delay, tc.script)), withTestUpstream(t, after(delay, tc.script)))
			// The retry budget lets over 20 of 100 streams be continued.
			for range 100 {
				f.call(t.Context(), t, http.MethodPost, "/"+tc.path+"/", tc.header)
			}
			least, known := estimates.Least("s", tc.path)
			assert.Equal(t, known, tc.known)
			assert.Assert(t, !known || least >= delay, least)
		})
	}
}
