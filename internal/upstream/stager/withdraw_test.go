package stager_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// waitPartial waits for the first order to load some of the layers.
func (e *engine) waitPartial(t *testing.T) hub.LoadOrder {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		e.mu.Lock()
		orders := slices.Clone(e.partial)
		e.mu.Unlock()
		if len(orders) > 0 {
			return orders[0]
		}
		select {
		case <-e.changed:
		case <-deadline:
			t.Fatal("no order to load some of the layers")
		}
	}
}

// Guards against an engine that begins requests on an older version past the bound because its fetch of the newer one takes longer.
func TestOlderVersionIsWithdrawnBeforeTheBoundIfNoNewerOneIsComplete(t *testing.T) {
	const bound = 2 * time.Second
	for _, tc := range []struct {
		name    string
		missing []int
		version uint64
		layers  hub.LayerRange
	}{
		{"no chunk arrives", []int{0, 1, 2, 3, 4, 5, 6, 7}, 1, hub.LayerRange{End: 1}},
		{"the first layer lacks a chunk", []int{2}, 2, hub.LayerRange{First: 1, End: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := &origin{missing: tc.missing}
			s := withTestSide(t, "a", o, newEngine(1), bound)
			named := time.Now()
			s.setTarget(2)
			order := s.engine.waitPartial(t)
			assert.Assert(t, time.Since(named) < bound)
			assert.Equal(t, order.Version, tc.version)
			assert.Equal(t, order.Layers, tc.layers)
			assert.Assert(t, !order.AbortRunning)
			o.mu.Lock()
			o.missing = nil
			o.mu.Unlock()
			s.engine.waitLoads(t, 2)
		})
	}
}

// Guards against an engine that gives up its only version long before that is due to be replaced.
func TestOlderVersionIsKeptUntilItIsDueToBeReplaced(t *testing.T) {
	const bound = 2 * time.Second
	s := withTestSide(t, "a", &origin{missing: []int{0}}, newEngine(1), bound)
	named := time.Now()
	s.setTarget(2)
	s.engine.waitPartial(t)
	assert.Assert(t, time.Since(named) >= bound*8/10, "after %s", time.Since(named))
}
