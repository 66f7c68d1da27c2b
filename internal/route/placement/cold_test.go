package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// Guards against entry processes that send a request each to an engine that is back cold, at the same time and more than it
// bears.
func TestColdRateLimitHoldsForTheSumOfAllProcesses(t *testing.T) {
	const (
		cold = 3 * time.Second
		// perSecond is the limit of the fixture, allowed is what may arrive in one second.
		perSecond = 10
		allowed   = 1.5*perSecond + 5
	)
	for name, from := range map[string]time.Duration{"load all the time": 0, "load after a pause": 1500 * time.Millisecond} {
		for _, entries := range []int{1, 6, 15, 53, 200} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var all []*fixture
					for i := range entries {
						f := withTestPlacement(t)
						f.entries, f.turn = entries, placement.Turn{Index: i, Entries: entries}
						f.engines(1, cold)
						all = append(all, f)
					}
					time.Sleep(from)
					var sent []time.Time
					for range (cold - from) / (10 * time.Millisecond) {
						for _, f := range all {
							if c, ok := f.placement.Choose(requirements()); ok {
								sent = append(sent, time.Now())
								c.Release()
							}
						}
						time.Sleep(10 * time.Millisecond)
					}
					assert.Assert(t, mostInOneSecond(sent) <= allowed, "%d requests in a second to %d processes", mostInOneSecond(sent), entries)
					served := perSecond * (cold - from).Seconds() / 2
					assert.Assert(t, float64(len(sent)) >= served, "%d requests while the engine was cold", len(sent))
				})
			})
		}
	}
}

// mostInOneSecond returns the largest number of times within one second. The times are sorted.
func mostInOneSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
