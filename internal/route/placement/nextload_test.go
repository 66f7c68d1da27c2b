package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// loadsIn delivers reports of engines that serve version 1 and load another one after the given times, 0 for no planned load.
func (f *fixture) loadsIn(times ...time.Duration) {
	for i, d := range times {
		f.report(i, hub.UpstreamReport{Held: 1, Born: 1, LoadIn: d})
	}
}

// chosen returns the number of choices among n that are the upstream with the given ID; each is released before the next one.
func (f *fixture) chosen(t *testing.T, n int, r *placement.Requirements, id string) int {
	t.Helper()
	count := 0
	for range n {
		c := f.choose(t, r)
		if c.Upstream.Id == id {
			count++
		}
		c.Release()
	}
	return count
}

// Guards against streams that are moved from one engine that loads weights to the next one that does.
func TestContinuedStreamAvoidsAnUpstreamThatIsAboutToLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.loadsIn(3*time.Second, 0)
		begun := requirements()
		begun.ResponseTokens, begun.Events = 60, 20
		assert.Equal(t, f.chosen(t, 20, begun, "i000"), 0)
		begun.Events = 58
		assert.Assert(t, f.chosen(t, 50, begun, "i000") > 0, "the rest would end before the load")
	})
}

// Guards against long responses that hold up the load of an engine while its other slots are empty.
func TestLongResponseWaitsForAnUpstreamThatLoadsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.loadsIn(time.Second, 4*time.Second)
		long, short := requirements(), requirements()
		long.ResponseTokens, short.ResponseTokens = 20, 2
		for range 4 {
			assert.Equal(t, f.choose(t, long).Upstream.Id, "i001")
		}
		_, ok := f.placement.Choose(long)
		assert.Assert(t, !ok, "an engine that loads first is chosen because it alone has room")
		assert.Equal(t, f.choose(t, short).Upstream.Id, "i000")
	})
}

// Guards against requests that get no upstream because all of them load before the responses would end.
func TestRequestGetsTheUpstreamThatLoadsLastIfAllLoadSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(3, 0)
		f.loadsIn(200*time.Millisecond, 400*time.Millisecond, 900*time.Millisecond)
		long := requirements()
		long.ResponseTokens = 100
		c := f.choose(t, long)
		assert.Equal(t, c.Upstream.Id, "i002")
		assert.Assert(t, c.Overrun > 5*time.Second, "overrun of %s", c.Overrun)
	})
}

// Guards against a planned load that is kept in mind although the reports of its upstream have ceased or name it no longer.
func TestPlannedLoadIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		long := requirements()
		long.ResponseTokens = 20
		f.loadsIn(time.Second, 0)
		assert.Equal(t, f.chosen(t, 20, long, "i000"), 0)
		f.loadsIn(0, 0)
		assert.Assert(t, f.chosen(t, 50, long, "i000") > 0)
	})
}

// Guards against requests that get no upstream because all that may run them have failed recently and load soon.
func TestRequestGetsAnUpstreamThatLoadsSoonIfAllHaveFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.loadsIn(200*time.Millisecond, 400*time.Millisecond)
		long := requirements()
		long.ResponseTokens = 100
		for range 2 {
			c := f.choose(t, long)
			c.Load.Failed()
			c.Release()
		}
		f.choose(t, long)
	})
}

// Guards against requests that wait for an upstream that has asked for a pause while others are free and load soon.
func TestRequestGetsAnUpstreamThatLoadsSoonIfOthersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(2, 0)
		f.loadsIn(200*time.Millisecond, 0)
		long := requirements()
		long.ResponseTokens = 100
		c := f.choose(t, long)
		assert.Equal(t, c.Upstream.Id, "i001")
		c.Load.Pause(time.Minute)
		c.Release()
		assert.Equal(t, f.choose(t, long).Upstream.Id, "i000")
	})
}

// Guards against requests that wait for the turn of their process at a cold upstream while others are free and load soon.
func TestRequestGetsAnUpstreamThatLoadsSoonIfOthersAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.publisher.PublishUpstreams(
			hub.Instance{Id: "cold", Service: "s", Address: address(0), Domain: "a", Slots: 4, Born: 1, Cold: time.Minute, Version: 1, Layers: 2},
			hub.Instance{Id: "warm", Service: "s", Address: address(1), Domain: "a", Slots: 4, Born: 1, Version: 1, Layers: 2},
		)
		f.refresh()
		f.loadsIn(0, 200*time.Millisecond)
		long := requirements()
		long.ResponseTokens = 100
		for range 2 {
			f.choose(t, long)
		}
	})
}

// Guards against long responses that crowd at the one engine that loads last while the others have room, and against a full service
// in which they take the slots of engines that are about to load.
func TestHalfOfTheUpstreamsShareLongResponsesWhileThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(4, 0)
		f.loadsIn(time.Second, 2*time.Second, 3*time.Second, 4*time.Second)
		long := requirements()
		long.ResponseTokens = 100
		_, counts := f.chooseAll(100, long)
		assert.DeepEqual(t, counts, map[string]int{"i002": 4, "i003": 4})
		for range 100 {
			_, err := f.placement.Acquire(t.Context(), long, time.Millisecond)
			assert.ErrorIs(t, err, placement.ErrNoRoom)
		}
		f.loadsIn(4*time.Second, time.Second, 2*time.Second, 3*time.Second)
		_, counts = f.chooseAll(100, long)
		assert.DeepEqual(t, counts, map[string]int{"i000": 4})
	})
}
