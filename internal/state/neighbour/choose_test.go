package neighbour

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// maxNeighbours is the maximum number of neighbours; the 1 is the successor in other regions.
const maxNeighbours = regionSuccessors + regionLinks + remoteLinks + 1

// fleet returns n members that are distributed evenly over the regions.
func fleet(n, regions int) []hub.Member {
	members := make([]hub.Member, n)
	for i := range members {
		members[i] = hub.Member{Id: fmt.Sprint("p-", i), Region: fmt.Sprint("r-", i%regions)}
	}
	return members
}

// rounds returns the number of rounds after which a change at one process has reached all others, or -1 if it never
// does. In a round, every process exchanges with all its neighbours.
func rounds(members []hub.Member) int {
	index := map[string]int{}
	for i, m := range members {
		index[m.Id] = i
	}
	chosen := make([][]int, len(members))
	for i, m := range members {
		for _, n := range Choose(m, members) {
			chosen[i] = append(chosen[i], index[n.Id])
		}
	}
	has := make([]bool, len(members))
	has[0] = true
	reached := 1
	for round := 0; round < len(members); round++ {
		if reached == len(members) {
			return round
		}
		next := append([]bool(nil), has...)
		for i, neighbours := range chosen {
			for _, n := range neighbours {
				// An exchange transfers changes in both directions.
				if has[n] && !next[i] || has[i] && !next[n] {
					next[i], next[n] = true, true
					reached++
				}
			}
		}
		has = next
	}
	return -1
}

// Guards against a graph that is disconnected or has a large diameter, in which changes would reach some processes late
// or never.
func TestChangesReachAllMembersInFewRounds(t *testing.T) {
	for _, tc := range []struct{ n, regions, limit int }{{2, 1, 1}, {10, 3, 4}, {100, 3, 6}, {400, 8, 8}} {
		got := rounds(fleet(tc.n, tc.regions))
		assert.Assert(t, got >= 0 && got <= tc.limit, "%d processes in %d regions: %d rounds", tc.n, tc.regions, got)
	}
}

// Guards against processes that no other process monitors, whose failure would stay undetected, and against too many
// neighbours or too much traffic between regions.
func TestEveryMemberIsMonitored(t *testing.T) {
	members := fleet(500, 8)
	monitors := map[string]int{}
	remote := 0
	for _, m := range members {
		chosen := Choose(m, members)
		assert.Assert(t, len(chosen) <= maxNeighbours)
		for _, n := range chosen {
			monitors[n.Id]++
			if n.Region != m.Region {
				remote++
			}
		}
	}
	for _, m := range members {
		assert.Assert(t, monitors[m.Id] >= regionSuccessors, "%s is monitored by %d processes", m.Id, monitors[m.Id])
	}
	assert.Assert(t, remote <= 2*len(members), "%d exchanges between regions", remote)
}
