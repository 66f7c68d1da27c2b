package forward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// sendAcross sends a request to the only upstream of a service, and calls change while the connection to it is being opened. It returns
// the reply and the number of requests that reached the upstream.
func sendAcross(t *testing.T, change func(f *fixture, u *upstream)) (reply, int) {
	t.Helper()
	p := withTestPipes(t)
	u := p.upstream(respond(http.StatusOK, "done"))
	var f *fixture
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		change(f, u)
		return p.dial(ctx, address)
	}
	f = withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(dial), serve: p.serve})
	f.client = p.client(t)
	f.publisher.PublishUpstreams(instanceOf(u, "only", 4))
	f.refresh()
	got := f.post(t, "/once/")
	return got, u.count()
}

// loadOf returns the load of the only upstream.
func loadOf(f *fixture) *placement.Load {
	c, _ := f.placement.Choose(&placement.Requirements{Service: "s"})
	defer c.Release()
	return c.Load
}

// Guards against a request that is sent by a choice which no longer holds once its connection is open.
func TestRequestIsNotSentWhereItMayNoLongerRun(t *testing.T) {
	for name, change := range map[string]func(f *fixture, u *upstream){
		"leaving": func(f *fixture, u *upstream) {
			i := instanceOf(u, "only", 4)
			i.Leaving = true
			f.publisher.PublishUpstreams(i)
		},
		"gone": func(f *fixture, _ *upstream) { f.publisher.PublishUpstreams() },
		"out of service": func(f *fixture, _ *upstream) {
			f.publisher.PublishDirectives(hub.Directives{Evacuated: []string{"a"}})
		},
		"says it leaves": func(f *fixture, _ *upstream) { loadOf(f).Leaves() },
		"pause":          func(f *fixture, _ *upstream) { loadOf(f).Pause(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				changed := false
				got, requests := sendAcross(t, func(f *fixture, u *upstream) {
					if !changed {
						changed = true
						change(f, u)
						f.refresh()
					}
				})
				assert.NilError(t, got.err)
				assert.Equal(t, requests, 0)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
			})
		})
	}
}

// Guards against refusing a request because of a change that does not concern its upstream.
func TestRequestIsSentBesideOtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, requests := sendAcross(t, func(f *fixture, u *upstream) {
			f.publisher.PublishUpstreams(instanceOf(u, "an", 4), instanceOf(u, "only", 5), instanceOf(u, "other", 4))
			f.publisher.PublishDirectives(hub.Directives{Evacuated: []string{"b"}})
			f.refresh()
		})
		assert.NilError(t, got.err)
		assert.Equal(t, requests, 1)
		assert.Equal(t, got.status, http.StatusOK)
	})
}

// Guards against a request that is sent to an engine whose version has become due to be replaced since the choice.
func TestRequestIsNotSentOnceItsVersionIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 3 * time.Second
		p := withTestPipes(t)
		older := p.upstream(events(streamEvents, true))
		f, placed, h := withVersionedEntry(t, p, bound)
		f.publisher.PublishUpstreams(engineOf(older, "older"))
		f.publisher.PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		f.refresh()
		placed.Refresh()
		p.dialTime = bound/2 - 500*time.Millisecond
		time.Sleep(bound / 2)
		w := newRecorder()
		h.ServeHTTP(w, testRequest("/stream/x"))
		assert.Equal(t, older.count(), 0)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	})
}
