package placement_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// startTime is the time for which the first engines of these tests have been listed when a new one starts.
const startTime = time.Minute

// list lists running engines that started long ago and one, with the last index, that has just started.
func (f *fixture) list(running int, fresh bool) {
	var instances []hub.Instance
	for i := range running {
		instances = append(instances, instance(i, 1))
	}
	if fresh {
		instances = append(instances, instance(running, time.Now().UnixMilli()))
	}
	f.publisher.PublishUpstreams(instances...)
	f.refresh()
}

func instance(i int, born int64) hub.Instance {
	return hub.Instance{Id: fmt.Sprintf("i%03d", i), Service: "s", Address: address(i), Domain: "a", Slots: 4, Born: born, Version: 1, Layers: 2}
}

// chooseAll chooses upstreams until none has room, up to n times, and returns the choices and how many each upstream got.
func (f *fixture) chooseAll(n int, r *placement.Requirements) (choices []placement.Choice, counts map[string]int) {
	counts = map[string]int{}
	for range n {
		c, ok := f.placement.Choose(r)
		if !ok {
			break
		}
		c.ResponseStarted()
		choices = append(choices, c)
		counts[c.Upstream.Id]++
	}
	return choices, counts
}

// Guards against a new engine that gets as many requests as it has slots before it has answered one, and against one that
// gets fewer after it has answered normally.
func TestNewEngineGetsMoreWithItsResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.list(3, false)
		time.Sleep(startTime)
		f.list(3, true)
		choices, counts := f.chooseAll(100, requirements())
		assert.DeepEqual(t, counts, map[string]int{"i000": 4, "i001": 4, "i002": 4, "i003": 2})
		time.Sleep(50 * time.Millisecond)
		for i := range choices {
			choices[i].ResponseArrived()
		}
		_, counts = f.chooseAll(100, requirements())
		assert.DeepEqual(t, counts, map[string]int{"i003": 2})
	})
}

// Guards against requests that are refused because the only engine that may run them is new.
func TestLastUpstreamIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.list(1, false)
		time.Sleep(startTime)
		f.list(1, true)
		r := requirements()
		r.Tried = append(r.Tried, f.directory.Current().Service("s").Upstreams[0].Key())
		_, counts := f.chooseAll(100, r)
		assert.DeepEqual(t, counts, map[string]int{"i001": 4})
	})
}

// Guards against requests that are refused while all engines are new, as after a loss of power.
func TestStartOfAllEnginesHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		var instances []hub.Instance
		for i := range 20 {
			instances = append(instances, instance(i, time.Now().UnixMilli()))
		}
		f.publisher.PublishUpstreams(instances...)
		f.refresh()
		choices, _ := f.chooseAll(1000, requirements())
		assert.Equal(t, len(choices), 20*4)
	})
}

// Guards against an entry process that starts and takes all engines for new ones: it would leave them to the others.
func TestEnginesOfLongAgoAreNotNewToANewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.list(4, true)
		_, counts := f.chooseAll(100, requirements())
		assert.DeepEqual(t, counts, map[string]int{"i000": 4, "i001": 4, "i002": 4, "i003": 4, "i004": 2})
	})
}

// Guards against a waiting request that does not notice that the limit of a new engine has grown.
func TestGrownLimitEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.list(1, false)
		time.Sleep(startTime)
		f.list(1, true)
		choices, _ := f.chooseAll(100, requirements())
		time.AfterFunc(time.Millisecond, func() {
			for i := range choices {
				choices[i].ResponseArrived()
			}
		})
		started := time.Now()
		_, err := f.placement.Acquire(context.Background(), requirements(), time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), time.Millisecond)
	})
}

// Guards against an engine that has loaded weights and at once gets as many requests as it has slots: it has no running
// ones and therefore the best score at all entry processes.
func TestEngineThatLoadedWeightsStartsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.list(4, false)
		report := func(busy bool, held uint64) {
			f.report(0, hub.UpstreamReport{Held: held, Busy: busy, Born: 1, Pace: 1})
			for i := 1; i < 4; i++ {
				f.report(i, hub.UpstreamReport{Held: 1, Born: 1, Pace: 1})
			}
			time.Sleep(100 * time.Millisecond)
		}
		report(true, 1)
		report(false, 2)
		_, counts := f.chooseAll(100, requirements())
		assert.DeepEqual(t, counts, map[string]int{"i000": 2, "i001": 4, "i002": 4, "i003": 4})
	})
}

// Guards against a slowed engine that gets as much as the others although it reports that.
func TestEngineThatReportsThatItIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.list(4, false)
		report := func(pace float64) {
			for i := range 4 {
				f.report(i, hub.UpstreamReport{Held: 1, Born: 1, Pace: max(1, pace*float64(1-min(1, i)))})
			}
			time.Sleep(100 * time.Millisecond)
		}
		report(1)
		report(2.5)
		choices, counts := f.chooseAll(100, requirements())
		assert.DeepEqual(t, counts, map[string]int{"i000": 2, "i001": 4, "i002": 4, "i003": 4})
		for i := range choices {
			choices[i].Release()
		}
		report(1)
		_, counts = f.chooseAll(100, requirements())
		assert.Equal(t, counts["i000"], 4)
	})
}
