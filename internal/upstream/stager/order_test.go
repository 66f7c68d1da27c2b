package stager_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against streams that a load cuts off although they would end in time, and against an engine that serves nothing while it
// waits for requests of any length.
func TestLoadOrderLetsRunningStreamsFinish(t *testing.T) {
	const bound = time.Second
	stream := func(limit time.Duration) hub.Route {
		return hub.Route{Name: "stream", Kind: hub.Stream, Resumable: true, Timeout: limit, Targets: []hub.Target{{Service: "s"}}}
	}
	once := hub.Route{Name: "once", Kind: hub.AtMostOnce, Timeout: time.Hour, Targets: []hub.Target{{Service: "s"}}}
	elsewhere := hub.Route{Name: "elsewhere", Kind: hub.AtMostOnce, Timeout: time.Hour, Targets: []hub.Target{{Service: "other"}}}
	for _, tc := range []struct {
		name   string
		routes []hub.Route
		aborts bool
	}{
		{"streams end within the bound", []hub.Route{stream(bound), elsewhere}, false},
		{"a stream may last longer", []hub.Route{stream(bound / 2), stream(bound + time.Millisecond), elsewhere}, true},
		{"a request can't be repeated", []hub.Route{stream(time.Hour), once}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := withTestSide(t, "a", &origin{}, newEngine(1), bound)
			c := *s.directory.Current().Configuration
			c.Version, c.Routes = 2, tc.routes
			s.publisher.PublishConfiguration(c)
			s.setTarget(2)
			s.engine.waitLoads(t, 2)
			s.engine.mu.Lock()
			defer s.engine.mu.Unlock()
			assert.Equal(t, s.engine.aborted, tc.aborts)
		})
	}
}
