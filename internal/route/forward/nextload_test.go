package forward_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// serveEngines makes the upstreams engines whose responses usually take some seconds, and delivers reports that the engine of each
// loads weights after the given time, 0 for no planned load.
func (f *fixture) serveEngines(t *testing.T, upstreams []*upstream, loadIn ...time.Duration) {
	t.Helper()
	c := *f.directory.Current().Configuration
	c.Version++
	model := &hub.EngineModel{Model: "m", Slots: 4, ReadPerSecond: 1e6, Pass: 50 * time.Millisecond, TokensPerPass: 1, UsualPrompt: 10, UsualResponse: 40, Layers: 1}
	c.Services = []hub.Service{{Name: "s", Engine: model}}
	f.publisher.PublishConfiguration(c)
	f.publisher.PublishDirectives(hub.Directives{})
	f.list(upstreams, false)
	for i, u := range upstreams {
		r := hub.UpstreamReport{Held: 1, Layers: 1, Born: int64(i + 1), LoadIn: loadIn[i]}
		f.placement.Report(hub.SentReport{UpstreamReport: r, Address: netip.MustParseAddrPort(u.address), Number: 1})
	}
}

// Guards against a stream that an engine's load has cut off and that goes on at the engine that loads next.
func TestCutStreamGoesOnAtAnEngineThatLoadsNoWeights(t *testing.T) {
	cutOnce := func(r *http.Request, c net.Conn) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return events(3, false)(r, c)
		}
		return events(6, true)(r, c)
	}
	for range 8 {
		upstreams := []*upstream{withTestUpstream(t, cutOnce), withTestUpstream(t, cutOnce), withTestUpstream(t, cutOnce)}
		f := withTestEntry(t, upstreams...)
		f.serveEngines(t, upstreams, time.Second, 0, 0)
		got := f.post(t, "/stream/")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(6))
		assert.Equal(t, upstreams[0].count(), 0, "requests at the engine that is about to load")
		assert.Equal(t, upstreams[1].count()+upstreams[2].count(), 2)
	}
}
