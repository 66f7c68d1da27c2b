package concurrency_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/concurrency"
)

const (
	testSlots = 12
	// normal is the latency of a healthy upstream without the time for reading the prompt, readTime that time.
	normal   = 40 * time.Millisecond
	readTime = 40 * time.Millisecond
)

// fixture is a service with upstreams of which all but the last have served for long.
type fixture struct {
	peers   *concurrency.Peers
	others  []*concurrency.Limiter
	limiter *concurrency.Limiter
}

// withTestService returns a service with n upstreams besides the limiter under test. All of them have answered normally.
func withTestService(n, entries int) *fixture {
	f := &fixture{peers: concurrency.NewPeers(concurrency.Settings{Enabled: true, InitialShare: 0.25}, nil, func() int { return entries })}
	for i := range n {
		f.others = append(f.others, f.peers.NewLimiter(fmt.Sprint("other", i), testSlots, false))
	}
	f.limiter = f.peers.NewLimiter("new", testSlots, true)
	f.peers.SetMembers(append([]*concurrency.Limiter{f.limiter}, f.others...))
	f.answer(1)
	time.Sleep(time.Second)
	f.answer(1)
	return f
}

// answer lets the other upstreams answer ratio times as slowly as usual.
func (f *fixture) answer(ratio float64) {
	for _, l := range f.others {
		l.FirstEvent(scaled(normal+readTime, ratio), readTime)
	}
}

func scaled(d time.Duration, ratio float64) time.Duration { return time.Duration(ratio * float64(d)) }

// round lets the limiter under test answer as many requests as its limit, ratio times as slowly as usual, while the others
// answer normally, and returns the limit afterwards.
func (f *fixture) round(ratio float64) int {
	for range f.limiter.Limit() {
		f.limiter.FirstEvent(scaled(normal+readTime, ratio), readTime)
	}
	time.Sleep(scaled(normal+readTime, ratio))
	f.answer(1)
	return f.limiter.Limit()
}

// Guards against a new server that is overloaded at first, and against a healthy one that is left idle.
func TestNewUpstreamReachesItsSlotsInFewRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		assert.DeepEqual(t, []int{f.limiter.Limit(), f.round(1), f.round(1)}, []int{3, 6, 12})
	})
}

// Guards against a limit that grows more slowly the more entry processes share the requests to a server: each sees only its
// own responses.
func TestGrowthDoesNotSlowDownWithEntryProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 53)
		f.limiter.FirstEvent(normal+readTime, readTime)
		assert.Equal(t, f.limiter.Limit(), 6)
		f.limiter.FirstEvent(normal+readTime, readTime)
		assert.Equal(t, f.limiter.Limit(), 12)
	})
}

// Guards against a server that is slow at first and gets all of its slots before it is fast, or does not get them
// afterwards.
func TestUpstreamThatIsSlowAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		for range 5 {
			assert.Assert(t, f.round(3) <= 5, f.limiter.Limit())
		}
		for range 3 {
			f.round(1)
		}
		assert.Equal(t, f.limiter.Limit(), testSlots)
	})
}

// Guards against a server that never gets fast and is sent as much as the others, or nothing.
func TestUpstreamThatNeverGetsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		for range 50 {
			limit := f.round(2.5)
			assert.Assert(t, limit >= 1 && limit <= 6, limit)
		}
	})
}

// Guards against a slow period that is noticed too late, or from which a server recovers too late.
func TestSlowPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		assert.Assert(t, f.round(2.5) <= 6, f.limiter.Limit())
		start := time.Now()
		for f.limiter.Limit() < testSlots {
			f.round(1)
		}
		assert.Assert(t, time.Since(start) <= 500*time.Millisecond, time.Since(start))
	})
}

// Guards against a server that recovers and fails again and gets all of its slots in between.
func TestUpstreamThatFailsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		for range 5 {
			f.limiter.Failed()
			f.limiter.Failed()
			assert.Assert(t, f.limiter.Limit() <= 3, f.limiter.Limit())
			f.limiter.FirstEvent(normal+readTime, readTime)
			assert.Assert(t, f.limiter.Limit() < testSlots, f.limiter.Limit())
		}
		f.round(1)
		f.round(1)
		assert.Equal(t, f.round(1), testSlots)
	})
}

// Guards against limits that shrink everywhere when the whole service is overloaded: the requests would have nowhere to go.
func TestOverloadOfTheWholeServiceIsNotSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(8, 1)
		f.round(1)
		f.round(1)
		for step := range 40 {
			ratio := 1 + float64(step)/10
			f.answer(ratio)
			f.limiter.FirstEvent(scaled(normal+readTime, ratio), readTime)
			time.Sleep(50 * time.Millisecond)
		}
		for _, l := range f.others {
			assert.Equal(t, l.Limit(), testSlots)
		}
		assert.Equal(t, f.limiter.Limit(), testSlots)
	})
}

// Guards against servers that look slow because their prompts are long.
func TestLongPromptsAreNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		for range 10 {
			f.limiter.FirstEvent(normal+20*readTime, 20*readTime)
		}
		assert.Equal(t, f.limiter.Limit(), testSlots)
	})
}

// Guards against a server whose streams stall while their first events come in time.
func TestSlowIntervalsShrinkTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		for range 10 {
			for _, l := range f.others {
				l.Interval(30 * time.Millisecond)
			}
			f.limiter.Interval(90 * time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, f.limiter.Limit() <= 6, f.limiter.Limit())
		assert.Equal(t, f.others[0].Limit(), testSlots)
	})
}

// Guards against limits below the slots when they are switched off.
func TestLimitsSwitchedOff(t *testing.T) {
	p := concurrency.NewPeers(concurrency.Settings{}, nil, func() int { return 1 })
	l := p.NewLimiter("a", testSlots, true)
	l.Failed()
	l.Failed()
	l.Reported(concurrency.Report{Pace: 5, Silence: time.Second, Loaded: true})
	assert.Equal(t, l.Limit(), testSlots)
	// The number of slots itself is checked by package placement.
	assert.Assert(t, l.Room(testSlots-1, time.Now()) && l.Room(testSlots, time.Now()))
}

func BenchmarkFirstEvent(b *testing.B) {
	f := withTestService(168, 53)
	b.ReportAllocs()
	for b.Loop() {
		f.limiter.FirstEvent(normal+readTime, readTime)
	}
}

// Guards against an upstream of a plain service that looks slow because now and then two costly requests follow each other,
// and against one that is slow and gets all of its slots.
func TestCostlyRequestsOfPlainServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		for i := range 100 {
			f.answer(1)
			f.limiter.FirstEvent([]time.Duration{normal, 10 * normal, 10 * normal, normal}[i%4], 0)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, f.limiter.Limit(), testSlots)
		}
		for range 5 {
			f.limiter.FirstEvent(10*normal, 0)
		}
		assert.Assert(t, f.limiter.Limit() <= 6, f.limiter.Limit())
	})
}
