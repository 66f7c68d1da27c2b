package placement_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// An upstream that names a rate limit may get limitTolerance times what it allows in limitWindow, and limitSlack requests
// more.
const (
	limitTolerance = 1.5
	limitSlack     = 5
	limitWindow    = 4 * time.Second
)

func limitOf(perSecond float64) hub.RateLimit {
	return hub.RateLimit{Named: true, PerSecond: perSecond}
}

// most returns the largest number of times within limitWindow.
func most(times []time.Time) int {
	first, out := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

// process is one of several entry processes that choose among the same upstreams.
type process struct {
	*fixture
	id string
	// from and until are the times at which it starts and stops, as durations since the beginning of the test.
	from, until time.Duration
	// known are the entry processes that it knows at a time.
	known func(at time.Duration) []string
}

// withTestProcesses starts n processes that know each other and run all the time.
func withTestProcesses(t *testing.T, n int) []*process {
	t.Helper()
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("entry-", i))
	}
	var out []*process
	for _, id := range ids {
		out = append(out, &process{id: id, until: time.Hour, known: func(time.Duration) []string { return ids }})
	}
	return out
}

// start makes a process choose among one engine that names a limit.
func (p *process) start(t *testing.T, began time.Time, limit float64) {
	t.Helper()
	shares := allowance.NewRateShares(p.id, func() []string { return p.known(time.Since(began)) }, func() int { return 6 })
	p.fixture = withTestPlacement(t)
	p.placement = placement.New(placement.Options{
		Directory: p.directory, Domain: "a", Region: "north", SwitchBound: func() time.Duration { return switchBound },
		Entries: func() int { return 6 }, RateShare: shares.Of,
	})
	p.engines(1, 0)
	p.report(0, hub.UpstreamReport{Held: 1, Born: 1, RateLimit: limitOf(limit)})
}

// sent returns the times at which the processes send requests in the given time, each as many as it may.
func sent(t *testing.T, processes []*process, limit float64, length time.Duration) []time.Time {
	t.Helper()
	began := time.Now()
	var out []time.Time
	for at := time.Duration(0); at < length; at = time.Since(began) {
		for _, p := range processes {
			if at < p.from || at >= p.until {
				continue
			}
			if p.fixture == nil {
				p.start(t, began, limit)
			}
			if c, ok := p.placement.Choose(requirements()); ok {
				out = append(out, time.Now())
				c.Release()
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return out
}

// Guards against requests of all entry processes together that exceed the limit, whatever befalls some of the processes.
func TestRateLimitHoldsForTheSumOfAllProcesses(t *testing.T) {
	const length = 20 * time.Second
	for name, disturb := range map[string]func(all []*process){
		"none": func([]*process) {},
		"one starts and knows no other at first": func(all []*process) {
			all[0].from = 5 * time.Second
			known := all[0].known
			all[0].known = func(at time.Duration) []string {
				if at < 6*time.Second {
					return nil
				}
				return known(at)
			}
		},
		"one stops": func(all []*process) { all[0].until = 5 * time.Second },
		"one is cut off and forgets the others": func(all []*process) {
			all[0].known = func(time.Duration) []string { return nil }
		},
		"one is not known to the others": func(all []*process) {
			for _, p := range all[1:] {
				known := p.known(0)
				p.known = func(time.Duration) []string {
					return slices.DeleteFunc(slices.Clone(known), func(id string) bool { return id == all[0].id })
				}
			}
		},
	} {
		for _, entries := range []int{2, 5, 15, 53} {
			for _, limit := range []float64{0.5, 4.2, 25} {
				t.Run(fmt.Sprintf("%s/%d/%g", name, entries, limit), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						all := withTestProcesses(t, entries)
						disturb(all)
						times := sent(t, all, limit, length)
						allowed := limitTolerance*limit*limitWindow.Seconds() + limitSlack
						assert.Assert(t, float64(most(times)) <= allowed, "%d requests in %s, allowed %.0f", most(times), limitWindow, allowed)
						served := 0.5 * limit * length.Seconds()
						assert.Assert(t, float64(len(times)) >= served, "%d requests in %s, the limit allows %.0f", len(times), length, 2*served)
					})
				})
			}
		}
	}
}

// If all upstreams have got what their limits allow, a request that cannot wait for the next one is refused at once, with
// the time until then.
func TestRequestBeyondAllRateLimitsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		for i := range 2 {
			f.report(i, hub.UpstreamReport{Held: 1, Born: 1, RateLimit: limitOf(0.5)})
			c := f.choose(t, requirements())
			defer c.Release()
		}
		started := time.Now()
		c, err := f.placement.Acquire(context.Background(), requirements(), 100*time.Millisecond)
		assert.Assert(t, errors.Is(err, placement.ErrPaused), "%v", err)
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, c.PauseLeft > time.Second && c.PauseLeft <= 2*time.Second, c.PauseLeft)
		time.Sleep(c.PauseLeft - 50*time.Millisecond)
		c, err = f.placement.Acquire(context.Background(), requirements(), 100*time.Millisecond)
		assert.NilError(t, err)
		c.Release()
	})
}

// Upstreams without a limit take what others may not get.
func TestOtherUpstreamsTakeWhatARateLimitForbids(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.report(0, hub.UpstreamReport{Held: 1, Born: 1, RateLimit: limitOf(1)})
		counts := map[string]int{}
		for range 400 {
			c := f.choose(t, requirements())
			counts[c.Upstream.Id]++
			c.Release()
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, counts["i000"] <= 5, "%v", counts)
	})
}

// load returns the load of the only upstream.
func (f *fixture) load(t *testing.T) *placement.Load {
	t.Helper()
	c := f.choose(t, requirements())
	c.Release()
	return c.Load
}

// Guards against a response that was sent before the upstream named its limit ending that limit.
func TestOlderResponseDoesNotEndARateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, 0)
		l := f.load(t)
		sentBefore := time.Now()
		time.Sleep(time.Second)
		assert.Assert(t, l.SetRateLimit(limitOf(4), sentBefore))
		assert.Assert(t, !l.SetRateLimit(limitOf(4), time.Now()), "the same limit is no change")
		assert.Assert(t, !l.SetRateLimit(hub.RateLimit{}, sentBefore))
		assert.Equal(t, l.RateLimit(), limitOf(4))
		time.Sleep(time.Millisecond)
		assert.Assert(t, l.SetRateLimit(hub.RateLimit{}, time.Now()))
		assert.Equal(t, l.RateLimit(), hub.RateLimit{})
	})
}

// Guards against reports that do not show limits ending one that responses name, and against limits that outlast the
// reports which named them.
func TestReportEndsOnlyALimitThatReportsName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, 0)
		l := f.load(t)
		l.SetRateLimit(limitOf(4), time.Now())
		time.Sleep(2 * time.Second)
		f.report(0, hub.UpstreamReport{Held: 1, Born: 1})
		assert.Equal(t, l.RateLimit(), limitOf(4))
		f.report(0, hub.UpstreamReport{Held: 1, Born: 1, RateLimit: limitOf(5)})
		assert.Equal(t, l.RateLimit(), limitOf(5))
		f.report(0, hub.UpstreamReport{Held: 1, Born: 1})
		assert.Equal(t, l.RateLimit(), limitOf(5), "the report may be older than the limit")
		time.Sleep(2 * time.Second)
		f.report(0, hub.UpstreamReport{Held: 1, Born: 1})
		assert.Equal(t, l.RateLimit(), hub.RateLimit{})
	})
}

// Guards against limits that are forgotten while the entry of the upstream is away from the list.
func TestRateLimitOutlastsTheEntry(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	f.load(t).SetRateLimit(limitOf(4), time.Now())
	f.engines(0, 0)
	f.engines(1, 0)
	c, ok := f.placement.Choose(requirements())
	if ok {
		assert.Equal(t, c.Load.RateLimit(), limitOf(4))
		return
	}
	assert.Assert(t, c.PauseLeft > 0)
}
