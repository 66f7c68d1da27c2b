package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against requests that are sent to an upstream to which no connection is free, although it has free slots and
// another upstream has both.
func TestUpstreamWithoutFreeConnectionHasNoRoom(t *testing.T) {
	f := withTestPlacement(t)
	f.publisher.PublishConfiguration(hub.Configuration{Version: 2, Services: []hub.Service{{Name: "s", MaxConnections: 100}}})
	f.engines(2, 0)
	f.connections = map[string]int{address(0): 1, address(1): 2}
	used := map[string]int{}
	var last func()
	for range 3 {
		c := f.choose(t, requirements())
		used[c.Upstream.Id]++
		last = c.Release
	}
	assert.DeepEqual(t, used, map[string]int{"i000": 1, "i001": 2})
	c, ok := f.placement.Choose(requirements())
	assert.Assert(t, !ok && c.Candidates == 2, "candidates are kept, so that the request waits: %d", c.Candidates)
	last()
	f.choose(t, requirements())
}

// Guards against a service without a limit of connections that is given one.
func TestServiceWithoutLimitOfConnections(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	f.connections = map[string]int{address(0): 0}
	f.choose(t, requirements())
}
