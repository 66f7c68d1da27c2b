package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/duration"
	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// withStop is withPipedEntry with a planned stop and access to the estimates of response times.
func withStop(t *testing.T, p *pipes, upstreams ...*upstream) (*fixture, *forward.Stop, *duration.Estimates) {
	t.Helper()
	stop := forward.NewStop()
	t.Cleanup(stop.Cut)
	var estimates *duration.Estimates
	serve := func(h http.Handler) *httptest.Server {
		estimates = h.(*forward.Handler).Estimates()
		return p.serve(h)
	}
	f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: serve, limit: func(o *forward.Options) { o.Stop = stop }}, upstreams...)
	f.client = p.client(t)
	return f, stop, estimates
}

// Guards against streams that are cut at a planned stop although they end before its time is up.
func TestStreamThatHasBegunGoesOnUntilTheProcessCutsIt(t *testing.T) {
	for name, tc := range map[string]struct {
		end      func(*forward.Stop)
		complete bool
	}{
		"interrupted": {(*forward.Stop).Interrupt, true},
		"cut":         {(*forward.Stop).Cut, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				f, stop, _ := withStop(t, p, p.upstream(pausing(200*time.Millisecond)))
				time.AfterFunc(100*time.Millisecond, func() { tc.end(stop) })
				got := f.post(t, "/stream/x")
				// The upstream goes on for a while.
				time.Sleep(time.Second)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.err == nil && got.body == completeStream(streamEvents), tc.complete, "%v", got.err)
			})
		})
	}
}
