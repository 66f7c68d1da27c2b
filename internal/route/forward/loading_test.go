package forward_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// configureEngines is configureStreams with a service of engines.
func (f *fixture) configureEngines() {
	f.configureStreams()
	f.refresh()
	c := *f.directory.Current().Configuration
	c.Version++
	c.Services = []hub.Service{{Name: "s", Engine: &hub.EngineModel{Model: "m", Slots: 4, ReadPerSecond: 10000, Pass: 50 * time.Millisecond, UsualPrompt: 1000, Layers: 2, Chunks: 2}}}
	f.publisher.PublishConfiguration(c)
	f.refresh()
}

// reportOf delivers the report with a number of the engine u.
func (f *fixture) reportOf(u *upstream, number uint64, r hub.UpstreamReport) {
	r.Born = 1
	f.placement.Report(hub.SentReport{UpstreamReport: r, Address: netip.MustParseAddrPort(u.address), Number: number})
}

// Guards against cutting a stream whose engine is lost while all others load weights, which takes a moment: its caller waits longer.
func TestBegunStreamWaitsForEnginesThatLoad(t *testing.T) {
	for name, loading := range map[string]hub.UpstreamReport{
		"loading": {Held: 1, Layers: 2, Busy: true}, "without weights": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				lost, other := p.upstream(events(2, false)), p.upstream(events(streamEvents, true))
				f := withPipedEntry(t, p)
				f.configureEngines()
				f.publisher.PublishUpstreams(engineOf(lost, "lost"), engineOf(other, "other"))
				f.refresh()
				f.reportOf(lost, 1, hub.UpstreamReport{Held: 2, Layers: 2})
				f.reportOf(other, 1, loading)
				time.AfterFunc(time.Second, func() { f.reportOf(other, 2, loading) })
				time.AfterFunc(1500*time.Millisecond, func() { f.reportOf(other, 3, hub.UpstreamReport{Held: 2, Layers: 2}) })
				got := f.post(t, "/stream/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, completeStream(streamEvents))
				assert.Equal(t, other.count(), 1)
			})
		})
	}
}

// Guards against a caller that waits for a load that does not end.
func TestBegunStreamDoesNotWaitForALoadWithoutAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		lost, other := p.upstream(events(2, false)), p.upstream(events(streamEvents, true))
		f := withPipedEntry(t, p)
		f.configureEngines()
		f.publisher.PublishUpstreams(engineOf(lost, "lost"), engineOf(other, "other"))
		f.refresh()
		for i := range 10 {
			time.AfterFunc(time.Duration(i)*500*time.Millisecond, func() { f.reportOf(other, uint64(i+1), hub.UpstreamReport{Busy: true}) })
		}
		synctest.Wait()
		began := time.Now()
		assert.Assert(t, f.post(t, "/stream/x").err != nil)
		took := time.Since(began)
		assert.Assert(t, took >= 1900*time.Millisecond && took <= 2200*time.Millisecond, took)
	})
}

// Guards against new requests that wait behind a begun stream which waits for engines that load: its own engine serves them.
func TestNewRequestsAreServedBesideAStreamThatWaitsForALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		cut, whole := events(2, false), events(streamEvents, true)
		lost := p.upstream(func(r *http.Request, c net.Conn) bool {
			if r.URL.Path == "/stream/x" {
				return cut(r, c)
			}
			return whole(r, c)
		})
		other := p.upstream(whole)
		f := withPipedEntry(t, p)
		f.configureEngines()
		f.publisher.PublishUpstreams(engineOf(lost, "lost"), engineOf(other, "other"))
		f.refresh()
		f.reportOf(other, 1, hub.UpstreamReport{Busy: true})
		done := make(chan reply, 1)
		go func() { done <- f.post(t, "/stream/x") }()
		time.Sleep(200 * time.Millisecond)
		for range 20 {
			began := time.Now()
			assert.NilError(t, f.post(t, "/stream/y").err)
			assert.Assert(t, time.Since(began) < 10*time.Millisecond, time.Since(began))
			time.Sleep(30 * time.Millisecond)
		}
		assert.Equal(t, len(done), 0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(done), 1)
	})
}
