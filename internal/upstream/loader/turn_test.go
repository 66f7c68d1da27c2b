package loader

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

// TestTurnsKeepTheFloor loads upstreams that decide from outdated member records of each other. It checks at every
// step that the floor holds, and at the end that all upstreams serve the new version.
func TestTurnsKeepTheFloor(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "vms")
		floor := rapid.IntRange(0, 100).Draw(t, "floor")
		truth := make([]catalog.Record, n)
		known := make([][]catalog.Record, n)
		for i := range n {
			truth[i] = catalog.Record{Member: hub.Member{
				Id: fmt.Sprint("vm-", i), Role: hub.RoleSide, Group: "g", Domain: "d", State: hub.StateServing, ServingRoot: "old",
			}}
		}
		for i := range n {
			known[i] = append([]catalog.Record(nil), truth...)
		}
		step := func(i int) {
			switch truth[i].State {
			case hub.StateLoading:
				truth[i].State, truth[i].ServingRoot = hub.StateServing, "new"
			case hub.StateServing:
				own := turn{self: truth[i].Id, group: "g", domain: "d", root: "new", floorPercent: floor}
				granted, _ := own.granted(known[i])
				if truth[i].ServingRoot == "old" && granted {
					truth[i].State, truth[i].ServingRoot = hub.StateLoading, ""
				}
			}
			known[i][i] = truth[i]
			down := 0
			for _, m := range truth {
				if m.State != hub.StateServing {
					down++
				}
			}
			assert.Assert(t, down <= maxUnavailable(n, floor), "%d of %d upstreams out of service, floor %d%%", down, n, floor)
		}
		index := rapid.IntRange(0, n-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "deliver") {
				from, to := index.Draw(t, "from"), index.Draw(t, "to")
				known[to][from] = truth[from]
				continue
			}
			step(index.Draw(t, "at"))
		}
		for range 2*n + 2 {
			for i := range n {
				copy(known[i], truth)
				step(i)
			}
		}
		for _, m := range truth {
			assert.Equal(t, m.ServingRoot, "new")
		}
	})
}

// TestDeadUpstreamsDoNotHoldUpTheRest suspects all members: none may wait for another one, which will never load.
func TestDeadUpstreamsDoNotHoldUpTheRest(t *testing.T) {
	var members []catalog.Record
	for i := range 6 {
		m := catalog.Record{Member: hub.Member{
			Id: fmt.Sprint("vm-", i), Role: hub.RoleSide, Group: "g", Domain: "d", State: hub.StateServing, ServingRoot: "old", Suspected: true,
		}}
		members = append(members, m)
	}
	for i := range members {
		own := turn{self: members[i].Id, group: "g", domain: "d", root: "new", floorPercent: 50}
		granted, _ := own.granted(members)
		assert.Assert(t, granted, "waits for suspected members")
	}
}
