package placement_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// Guards against entry processes that heard of a cold engine at different times and send it more than it bears together.
func TestColdRateLimitHoldsForProcessesThatHeardAtDifferentTimes(t *testing.T) {
	const (
		cold      = 3 * time.Second
		perSecond = 10
		allowed   = 1.5*perSecond + 5
	)
	for _, entries := range []int{6, 15, 53, 200} {
		most := 0
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				var all []*fixture
				heard := make([]time.Duration, entries)
				for i := range entries {
					f := withTestPlacement(t)
					f.entries, f.turn = entries, placement.Turn{Index: i, Entries: entries}
					all = append(all, f)
					heard[i] = time.Duration(random.Int64N(int64(time.Second)))
				}
				began := time.Now()
				listed := make([]bool, entries)
				var sent []time.Time
				for range (cold + time.Second) / (10 * time.Millisecond) {
					for i, f := range all {
						if !listed[i] && time.Since(began) >= heard[i] {
							listed[i] = true
							f.engines(1, cold)
						}
						if time.Since(began) >= cold || !listed[i] {
							continue
						}
						if c, ok := f.placement.Choose(requirements()); ok {
							sent = append(sent, time.Now())
							c.Release()
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				most = max(most, mostInOneSecond(sent))
			})
		}
		t.Logf("%d processes: at most %d in a second", entries, most)
		assert.Check(t, most <= allowed, "%d requests in a second to %d processes", most, entries)
	}
}
