package placement_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against more requests at an upstream than it has slots because they choose it at the same time.
func TestRequestsAtTheSameTimeDoNotShareASlot(t *testing.T) {
	const rounds, requests, slots = 2000, 16, 4
	for range rounds {
		f := withTestPlacement(t)
		f.list(1, false)
		var chosen atomic.Int64
		var running sync.WaitGroup
		begin := make(chan struct{})
		for range requests {
			running.Go(func() {
				<-begin
				if _, ok := f.placement.Choose(requirements()); ok {
					chosen.Add(1)
				}
			})
		}
		close(begin)
		running.Wait()
		assert.Equal(t, chosen.Load(), int64(slots))
	}
}
