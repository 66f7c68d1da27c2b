package dispatch

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/route/picker"
	"github.com/oriolehub/oriolehub/internal/route/table"
	"github.com/oriolehub/oriolehub/internal/route/trace"
)

// withTestState returns the state of an idempotent request and the recorder of its response. The retry budget is full.
func withTestState(t *testing.T) (*requestState, *httptest.ResponseRecorder) {
	t.Helper()
	d := New(Options{Metrics: metrics.NewSet()})
	for range 1000 {
		d.retries.deposit()
	}
	w := httptest.NewRecorder()
	return &requestState{dispatcher: d, writer: w, request: &request{id: "r"}, deadline: time.Now().Add(time.Hour), idempotent: true}, w
}

// Guards against a refusal as not run although an earlier attempt of the request may have run.
func TestRefusalAfterAnAttemptThatMayHaveRunIsUnknown(t *testing.T) {
	s, w := withTestState(t)
	done, _ := s.handleResult(t.Context(), &table.Upstream{}, call.Result{Outcome: call.Unknown})
	assert.Assert(t, !done)
	assert.Equal(t, s.refuseNoCapacity(&table.Group{}), call.Unknown)
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Header().Get(HeaderOutcome), "unknown")
}

// Guards against a request that crashes one upstream after the other as long as the retry budget lasts.
func TestRequestThatLosesItsUpstreamsIsRetriedOnce(t *testing.T) {
	s, _ := withTestState(t)
	runs := 1
	for {
		done, outcome := s.handleResult(t.Context(), &table.Upstream{}, call.Result{Outcome: call.Unknown})
		if done {
			assert.Equal(t, outcome, call.Unknown)
			break
		}
		runs++
	}
	assert.Equal(t, runs, 2)
}

// Guards against a retry at the upstream that has just lost the request, although another one has room.
func TestLostRequestIsRetriedAtAnotherUpstream(t *testing.T) {
	lost, other := &table.Upstream{Id: "lost"}, &table.Upstream{Id: "other"}
	lost.ObserveLoad(8, 0)
	other.ObserveLoad(8, 0)
	other.ObserveFailure()
	other.ObserveLatency(time.Second)
	g := &table.Group{Upstreams: []*table.Upstream{lost, other}}
	for range 100 {
		s, _ := withTestState(t)
		s.record = trace.NewBuffer(1).Open("r")
		s.dispatcher.options.Picker = picker.TwoChoices{}
		s.dispatcher.options.Log = journal.Discard().Logger(journal.Routing)
		done, _ := s.handleResult(t.Context(), lost, call.Result{Outcome: call.Unknown})
		assert.Assert(t, !done)
		assert.Equal(t, s.choose(g), other)
		assert.Equal(t, s.choose(&table.Group{Upstreams: g.Upstreams[:1]}), lost)
	}
}
