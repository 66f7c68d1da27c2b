package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that panics while it waits for room and keeps its place at the head of the queue: all others of its
// queue would wait as long as they may, and none would get the room.
func TestQueueGoesOnAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, 0)
		for range 4 {
			f.choose(t, requirements())
		}
		searches := 0
		f.asked = func() {
			if searches++; searches == 2 {
				panic("while waiting")
			}
		}
		func() {
			defer func() { assert.Assert(t, recover() != nil) }()
			_, _ = f.placement.Acquire(t.Context(), requirements(), time.Second)
		}()
		f.asked = nil
		f.engines(2, 0)
		c, ok := f.placement.TryAcquire(requirements())
		assert.Assert(t, ok, "the queue is not empty")
		c.Release()
	})
}
