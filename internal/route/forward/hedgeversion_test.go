package forward_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// Guards against hedges that begin on an older version after the time by which these must have begun.
func TestHedgeIsNotAwaitedPastTheReplacementOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 3 * time.Second
		p := withTestPipes(t)
		silent := p.upstream(after(7*time.Second, events(streamEvents, true)))
		var ended atomic.Int64
		began := time.Now()
		queueing := p.upstream(func(r *http.Request, c net.Conn) bool {
			_, _ = c.Read(make([]byte, 1))
			ended.Store(int64(time.Since(began)))
			return false
		})
		f, placed, h := withVersionedEntry(t, p, bound)
		f.publisher.PublishUpstreams(engineOf(silent, "silent"))
		f.publisher.PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		refresh := func() { f.refresh(); placed.Refresh() }
		refresh()
		w, done := newRecorder(), make(chan struct{})
		go func() { h.ServeHTTP(w, testRequest("/stream/x")); close(done) }()
		time.Sleep(50 * time.Millisecond)
		f.publisher.PublishUpstreams(engineOf(silent, "silent"), engineOf(queueing, "queueing"))
		refresh()
		<-done
		time.Sleep(7 * time.Second)
		assert.Equal(t, silent.count(), 1)
		assert.Equal(t, queueing.count(), 1)
		took := time.Duration(ended.Load())
		assert.Assert(t, took > 0 && took <= bound, "%v", took)
	})
}

// Guards against requests that end because the version with which their upstream was chosen is due to be replaced, although it serves
// a newer one by then.
func TestRequestOutlastsTheReplacementOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 3 * time.Second
		p := withTestPipes(t)
		late := p.upstream(after(4*time.Second, events(streamEvents, true)))
		f, placed, h := withVersionedEntry(t, p, bound)
		listed := engineOf(late, "late")
		f.publisher.PublishUpstreams(listed)
		f.publisher.PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		f.refresh()
		placed.Refresh()
		w, done := newRecorder(), make(chan struct{})
		go func() { h.ServeHTTP(w, testRequest("/stream/x")); close(done) }()
		for number := range uint64(10) {
			time.Sleep(bound / 10)
			placed.Report(hub.SentReport{
				UpstreamReport: hub.UpstreamReport{Born: listed.Born, Held: 1 + min(1, number/5)},
				Address:        netip.MustParseAddrPort(late.address), Epoch: 1, Number: number + 1,
			})
		}
		<-done
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, w.Body.String(), completeStream(streamEvents))
	})
}

// withVersionedEntry starts an entry process with a route for streams to engines whose versions are replaced within bound.
func withVersionedEntry(t *testing.T, p *pipes, bound time.Duration) (*fixture, *placement.Placement, http.Handler) {
	t.Helper()
	return withVersionedEntryOptions(t, p, bound, func(*forward.Options) {})
}

// withVersionedEntryOptions is withVersionedEntry with options that change changes.
func withVersionedEntryOptions(t *testing.T, p *pipes, bound time.Duration, change func(*forward.Options)) (*fixture, *placement.Placement, http.Handler) {
	t.Helper()
	var placed *placement.Placement
	var h http.Handler
	f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h), limit: func(o *forward.Options) {
		placed = placement.New(placement.Options{
			Directory: o.Directory, Domain: "a", Region: "north",
			SwitchBound: func() time.Duration { return bound }, Entries: func() int { return 1 },
			RateShare:   func(_ string, limit float64) float64 { return limit },
			Connections: o.Pool.Allowed,
			Concurrency: concurrency.Settings{Enabled: true, InitialShare: 0.25},
		})
		o.Placement = placed
		change(o)
	}})
	engine := &hub.EngineModel{Model: "m", Slots: 4, ReadPerSecond: 10000, Pass: 50 * time.Millisecond, UsualPrompt: 1000, Layers: 2, Chunks: 2}
	f.publisher.PublishConfiguration(hub.Configuration{
		Version: 2,
		Routes: []hub.Route{{
			Name: "stream", Host: "h.test", PathPrefix: "/stream/", Kind: hub.Stream, Resumable: true, MaxAttempts: 2,
			Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
			Targets: []hub.Target{{Service: "s", Weight: 1}},
		}},
		Services: []hub.Service{{Name: "s", Engine: engine}},
		Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
	})
	return f, placed, h
}

// engineOf lists u as an engine that serves version 1.
func engineOf(u *upstream, id string) hub.Instance {
	i := instanceOf(u, id, 4)
	i.Version, i.Layers = 1, 2
	return i
}
