package duration_test

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/duration"
)

// tolerance is the allowed error of an estimate: times are told apart by a sixteenth.
const tolerance = 1.0 / 16

// complete records n responses that took d, one per interval.
func complete(e *duration.Estimates, n int, d, interval time.Duration) {
	for range n {
		time.Sleep(interval)
		e.Completed("s", "r", d)
	}
}

func near(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, float64(got) >= float64(want)*(1-tolerance) && float64(got) <= float64(want)*(1+tolerance), "%v instead of %v", got, want)
}

func least(t *testing.T, e *duration.Estimates) time.Duration {
	t.Helper()
	d, ok := e.Least("s", "r")
	assert.Assert(t, ok)
	return d
}

// Guards against estimates from a few responses and from another route or service.
func TestEstimateNeedsEnoughResponsesOfItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 19, time.Second, time.Millisecond)
		_, ok := e.Least("s", "r")
		assert.Assert(t, !ok)
		complete(e, 1, time.Second, time.Millisecond)
		near(t, least(t, e), time.Second)
		for _, other := range [][2]string{{"s", "other"}, {"other", "r"}, {"r", "s"}} {
			_, ok = e.Least(other[0], other[1])
			assert.Assert(t, !ok, other)
		}
	})
}

// Guards against a quantile other than the one named: with a higher one, requests would be refused that most often are
// completed.
func TestQuartileOfVaryingTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		r := rand.New(rand.NewPCG(1, 2))
		for range 4000 {
			time.Sleep(time.Millisecond)
			e.Completed("s", "r", time.Second+time.Duration(r.Int64N(int64(2*time.Second))))
		}
		near(t, least(t, e), 1500*time.Millisecond)
	})
}

// Guards against requests that are refused because responses took long in an earlier time: without responses the estimate
// ends, and it does not come back with the first response.
func TestEstimateEndsWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 100, time.Second, time.Millisecond)
		time.Sleep(30*time.Second - time.Nanosecond)
		least(t, e)
		time.Sleep(time.Nanosecond)
		_, ok := e.Least("s", "r")
		assert.Assert(t, !ok)
		complete(e, 19, 100*time.Millisecond, time.Millisecond)
		_, ok = e.Least("s", "r")
		assert.Assert(t, !ok)
		complete(e, 1, 100*time.Millisecond, time.Millisecond)
		near(t, least(t, e), 100*time.Millisecond)
	})
}

// Guards against an estimate that stays high after an overload, at high and at low rates, and against one that follows
// single responses.
func TestEstimateFollowsFasterResponses(t *testing.T) {
	for _, tc := range []struct {
		interval time.Duration
		within   int
	}{{time.Millisecond, 4000}, {100 * time.Millisecond, 40}, {5 * time.Second, 8}} {
		t.Run(tc.interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := duration.New()
				complete(e, 20_000, 4*time.Second, tc.interval)
				complete(e, 1, 200*time.Millisecond, tc.interval)
				near(t, least(t, e), 4*time.Second)
				complete(e, tc.within, 200*time.Millisecond, tc.interval)
				near(t, least(t, e), 200*time.Millisecond)
			})
		})
	}
}

// Guards against weights that overflow or vanish in a process that runs for long.
func TestEstimateStaysRightForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		for range 20 {
			complete(e, 2000, 300*time.Millisecond, 200*time.Millisecond)
			near(t, least(t, e), 300*time.Millisecond)
			complete(e, 2000, 3*time.Second, 3*time.Second)
			near(t, least(t, e), 3*time.Second)
		}
	})
}

// Guards against times out of range that are lost or make the estimate negative.
func TestTimesOutOfRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 20, -time.Second, time.Millisecond)
		assert.Equal(t, least(t, e), time.Millisecond)
		complete(e, 20_000, time.Hour, time.Millisecond)
		near(t, least(t, e), 2*time.Minute)
	})
}

// Guards against memory that grows with the routes that come and go, and against forgetting those in use.
func TestRoutesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		for i := range 1500 {
			for range 20 {
				e.Completed("s", strconv.Itoa(i), time.Second)
			}
			time.Sleep(time.Millisecond)
			complete(e, 20, time.Second, 0)
		}
		known := 0
		for i := range 1500 {
			if _, ok := e.Least("s", strconv.Itoa(i)); ok {
				known++
			}
		}
		assert.Assert(t, known >= 252 && known <= 1024, known)
		near(t, least(t, e), time.Second)
	})
}

// Guards against a request path that allocates.
func TestEstimatesDoNotAllocate(t *testing.T) {
	e := duration.New()
	for range 20 {
		e.Completed("s", "r", time.Second)
	}
	allocated := testing.AllocsPerRun(1000, func() {
		_, _ = e.Least("s", "r")
		_ = e.Decide("s", "r", time.Millisecond)
		e.ProbeCompleted("s", "r")
		e.Completed("s", "r", time.Second)
	})
	assert.Equal(t, allocated, 0.0)
}

// Guards against data races and lost routes when many requests end at once.
func TestConcurrentUse(t *testing.T) {
	e := duration.New()
	var running sync.WaitGroup
	for i := range 64 {
		running.Go(func() {
			route := strconv.Itoa(i % 16)
			for range 100 {
				e.Completed("s", route, time.Second)
				_, _ = e.Least("s", route)
				if e.Decide("s", route, time.Millisecond) == duration.Probe {
					e.ProbeCompleted("s", route)
				}
			}
		})
	}
	running.Wait()
	for i := range 16 {
		d, ok := e.Least("s", strconv.Itoa(i))
		assert.Assert(t, ok)
		near(t, d, time.Second)
	}
}
