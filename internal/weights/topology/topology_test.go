package topology

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

func participants(n, regions int) []hub.Member {
	members := make([]hub.Member, n)
	for i := range members {
		members[i] = hub.Member{Id: fmt.Sprintf("vm-%04d", i), Region: fmt.Sprint("r-", i%regions)}
	}
	return members
}

// TestEachChunkIsDrawnOnce wants one taker from the origin for each chunk, and in every other region one taker over its link.
func TestEachChunkIsDrawnOnce(t *testing.T) {
	for _, tc := range []struct{ vms, regions, chunks int }{{3, 3, 64}, {16, 3, 256}, {200, 3, 256}, {40, 1, 64}} {
		members := participants(tc.vms, tc.regions)
		origin := make([]string, tc.chunks)
		crossing := make([]int, tc.chunks)
		for _, m := range members {
			layout := Swarm{}.Layout("root", m.Id, members, tc.chunks)
			assert.Assert(t, len(layout.Neighbours) <= maxNeighbours)
			assert.Assert(t, len(layout.RemotePeers) <= maxCrossings)
			for _, chunk := range layout.OriginChunks[0] {
				assert.Equal(t, origin[chunk], "", "chunk %d is drawn twice", chunk)
				origin[chunk] = m.Region
			}
			if len(layout.RemoteChunks) == 0 {
				continue
			}
			for _, chunk := range layout.RemoteChunks[0] {
				crossing[chunk]++
			}
		}
		for chunk := range origin {
			assert.Assert(t, origin[chunk] != "", "nobody draws chunk %d", chunk)
			assert.Equal(t, crossing[chunk], tc.regions-1, "chunk %d", chunk)
		}
	}
}

// TestFewReadFromTheOrigin wants that the connections to the origin stay few however many VMs there are: beyond its
// limit the origin resets them, and the connections of processes that lost power count on for a while.
func TestFewReadFromTheOrigin(t *testing.T) {
	for _, vms := range []int{16, 64, 400} {
		members := participants(vms, 3)
		readers := 0
		for _, m := range members {
			drawn := 0
			for _, chunks := range (Swarm{}.Layout("root", m.Id, members, 64)).OriginChunks {
				drawn += len(chunks)
			}
			if drawn > 0 {
				readers++
			}
		}
		assert.Assert(t, readers > 1 && readers <= 12, "%d of %d VMs read from the origin", readers, vms)
	}
}

// TestNeighboursAreEvenAndClose wants that no process has many more followers than another, and that
// everybody in a region is reached in few steps.
func TestNeighboursAreEvenAndClose(t *testing.T) {
	const vms = 200
	members := participants(vms, 1)
	followers := map[string]int{}
	chosen := map[string][]string{}
	for _, m := range members {
		chosen[m.Id] = Swarm{}.Layout("root", m.Id, members, 8).Neighbours
		for _, n := range chosen[m.Id] {
			followers[n]++
		}
	}
	for _, m := range members {
		assert.Equal(t, followers[m.Id], len(chosen[m.Id]))
	}
	reached := map[string]bool{members[0].Id: true}
	for step := 1; len(reached) < vms; step++ {
		assert.Assert(t, step <= 6, "%d of %d reached", len(reached), vms)
		for _, m := range members {
			for _, n := range chosen[m.Id] {
				if reached[n] && !reached[m.Id] {
					reached[m.Id] = true
					break
				}
			}
		}
	}
}

func TestTreeHasOneRoot(t *testing.T) {
	members := participants(15, 3)
	roots := 0
	for i, m := range members {
		layout := Tree{}.Layout("root", m.Id, members, 4)
		if len(layout.OriginChunks) > 0 {
			roots++
			continue
		}
		assert.DeepEqual(t, layout.Neighbours, []string{members[(i-1)/2].Id})
	}
	assert.Equal(t, roots, 1)
}
