package stager_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// setLacks changes the chunks that can't be read.
func (o *origin) setLacks(lacks func(version uint64, chunk int) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lacks = lacks
}

// waitReads waits until a number of chunks of a version have been read.
func (o *origin) waitReads(t *testing.T, version uint64, want int) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		o.mu.Lock()
		got := o.reads[version]
		o.mu.Unlock()
		if got >= want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d chunks of version %d read, want %d", got, version, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an engine that gave up an older version and then loads another one that is due to be replaced as well.
func TestVersionThatIsDueIsNotLoaded(t *testing.T) {
	const bound = 2 * time.Second
	o := &origin{lacks: func(_ uint64, chunk int) bool { return chunk == 0 }}
	s := withTestSide(t, "a", o, newEngine(1), bound)
	s.setTarget(2)
	o.waitReads(t, 2, chunks-1)
	s.setTarget(3)
	named := time.Now()
	s.engine.waitPartial(t)
	time.Sleep(time.Until(named.Add(bound)))
	o.setLacks(func(version uint64, chunk int) bool { return version == 3 && chunk == 0 })
	o.waitReads(t, 2, chunks)
	time.Sleep(time.Second)
	s.engine.waitLoads(t)
	o.setLacks(nil)
	s.engine.waitLoads(t, 3)
}

// Guards against an engine that goes on with an older version because no chunk of the newer one can be staged.
func TestOlderVersionIsWithdrawnThoughNoChunkCanBeStaged(t *testing.T) {
	const bound = 2 * time.Second
	for name, missing := range map[string][]int{"no newer version is complete": {2}, "newer version is complete": nil} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(1)
			e.refusesChunks = true
			s := withTestSide(t, "a", &origin{missing: missing}, e, bound)
			named := time.Now()
			s.setTarget(2)
			order := e.waitPartial(t)
			assert.Assert(t, time.Since(named) < bound)
			assert.Equal(t, order.Version, uint64(1))
			assert.Equal(t, order.Layers, hub.LayerRange{End: 1})
		})
	}
}
