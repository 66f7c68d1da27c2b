package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// withTestFleet returns the placements of n entry processes that know the same engines.
func withTestFleet(t *testing.T, n, engines int) []*fixture {
	t.Helper()
	var fleet []*fixture
	for i := range n {
		f := withTestPlacement(t)
		f.entries = n
		f.turn = placement.Turn{Index: i, Entries: n}
		f.engines(engines, 0)
		fleet = append(fleet, f)
	}
	return fleet
}

// reportAll delivers a report of the engine with index i to all entry processes.
func reportAll(fleet []*fixture, i int, r hub.UpstreamReport) {
	for _, f := range fleet {
		f.report(i, r)
	}
}

// Guards against all entry processes sending a waiting request to the same free slot after one report: the upstream would
// queue most of them, and all would be answered too late. The load is an overload, in which requests wait in each process.
func TestOneReportFillsTheFreeSlotsOnce(t *testing.T) {
	const entries, slots, running, mayWait = 12, 4, 3, 1
	fleet := withTestFleet(t, entries, 1)
	for range 20 {
		reportAll(fleet, 0, hub.UpstreamReport{Held: 1, Born: 1, Running: running, Pace: 1})
		var sent []placement.Choice
		for range slots {
			for _, f := range fleet {
				if c, ok := f.placement.Choose(requirements()); ok {
					sent = append(sent, c)
				}
			}
		}
		assert.Equal(t, len(sent), slots-running+mayWait)
		for i := range sent {
			sent[i].Release()
		}
	}
}

// Guards against a process that never gets a part of the free slots: the order must rotate with the reports.
func TestEachProcessGetsFreeSlots(t *testing.T) {
	const entries, reports = 12, 240
	fleet := withTestFleet(t, entries, 1)
	served := make([]int, entries)
	for range reports {
		reportAll(fleet, 0, hub.UpstreamReport{Held: 1, Born: 1, Running: 4, Pace: 1})
		for i, f := range fleet {
			if c, ok := f.placement.Choose(requirements()); ok {
				served[i]++
				c.Release()
			}
		}
	}
	for i, n := range served {
		assert.Assert(t, n > 0, "process %d of %v", i, served)
	}
}

// Guards against idle slots: a slot that becomes free in a process is used again there before the next report.
func TestFreedSlotIsUsedBeforeTheNextReport(t *testing.T) {
	fleet := withTestFleet(t, 12, 1)
	reportAll(fleet, 0, hub.UpstreamReport{Held: 1, Born: 1, Running: 3, Pace: 1})
	for _, f := range fleet {
		sent, ok := f.placement.Choose(requirements())
		if !ok {
			continue
		}
		_, more := f.placement.Choose(requirements())
		assert.Assert(t, !more, "a process has more than its part")
		for range 3 {
			sent.Release()
			sent = f.choose(t, requirements())
		}
	}
}

// Guards against refusals in calm operation: with room for all processes each of them may use any engine.
func TestCalmFleetIsNotLimitedByAllotments(t *testing.T) {
	const entries = 3
	fleet := withTestFleet(t, entries, 8)
	for i := range 8 {
		reportAll(fleet, i, hub.UpstreamReport{Held: 1, Born: 1, Running: 1, Pace: 1})
	}
	for n, f := range fleet {
		counts := map[string]int{}
		for range 8 {
			counts[f.choose(t, requirements()).Upstream.Id]++
		}
		assert.Equal(t, len(counts), 8, fmt.Sprintf("process %d: %v", n, counts))
	}
}

// Guards against requests that wait and are refused although the only engine is idle: most processes have no part of fewer slots
// than there are processes, and an unchanged report is repeated only after longer than a request waits.
func TestIdleEngineHasRoomForEachProcess(t *testing.T) {
	const entries = 12
	fleet := withTestFleet(t, entries, 1)
	for range 20 {
		reportAll(fleet, 0, hub.UpstreamReport{Held: 1, Born: 1, Pace: 1})
		for _, f := range fleet {
			first, second := f.choose(t, requirements()), f.choose(t, requirements())
			first.Release()
			second.Release()
		}
	}
}

// Guards against a slow upstream that gets as many requests as the others: its first events come late.
func TestSlowUpstreamIsChosenLast(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(2, 0)
	f.report(0, hub.UpstreamReport{Held: 1, Born: 1, Pace: 2.5})
	f.report(1, hub.UpstreamReport{Held: 1, Born: 1, Running: 2, Pace: 1})
	for range 10 {
		c := f.choose(t, requirements())
		assert.Equal(t, c.Upstream.Id, "i001")
		c.Release()
	}
}
