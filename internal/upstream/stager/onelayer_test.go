package stager_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against an order of one layer that loads all of a model again, from chunks of other versions that are staged.
func TestModelOfOneLayerIsNotLoadedToWithdrawIt(t *testing.T) {
	const bound = time.Second
	e := newEngine(1)
	s := withTestSide(t, "a", &origin{missing: []int{2}}, e, bound)
	c := *s.directory.Current().Configuration
	c.Version = 2
	c.Services = []hub.Service{
		{Name: "s", Engine: &hub.EngineModel{Model: "m", Slots: 4, Layers: 1, Chunks: chunks, ChunkBytes: chunkBytes}}, c.Services[1],
	}
	s.publisher.PublishConfiguration(c)
	s.setTarget(2)
	time.Sleep(2 * bound)
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, len(e.partial), 0)
}
