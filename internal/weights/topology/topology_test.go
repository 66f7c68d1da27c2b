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

// TestEachChunkIsFetchedOncePerRegion guards against chunks that no member, or more than one, is assigned to fetch from
// the origin or, in each region other than the owner's, from another region.
func TestEachChunkIsFetchedOncePerRegion(t *testing.T) {
	for _, tc := range []struct{ vms, regions, chunks int }{{3, 3, 64}, {16, 3, 256}, {200, 3, 256}, {40, 1, 64}} {
		members := participants(tc.vms, tc.regions)
		origin := make([]string, tc.chunks)
		remote := make([]int, tc.chunks)
		for _, m := range members {
			layout := Swarm{}.Layout("root", m.Id, members, tc.chunks)
			assert.Assert(t, len(layout.Neighbours) <= maxNeighbours)
			assert.Assert(t, len(layout.RemotePeers) <= maxRemotePeers)
			for _, chunk := range layout.OriginChunks[0] {
				assert.Equal(t, origin[chunk], "", "chunk %d is assigned twice", chunk)
				origin[chunk] = m.Region
			}
			if len(layout.RemoteChunks) == 0 {
				continue
			}
			for _, chunk := range layout.RemoteChunks[0] {
				remote[chunk]++
			}
		}
		for chunk := range origin {
			assert.Assert(t, origin[chunk] != "", "chunk %d is not assigned", chunk)
			assert.Equal(t, remote[chunk], tc.regions-1, "fetches of chunk %d from other regions", chunk)
		}
	}
}

// TestFewReadFromTheOrigin guards against a number of connections to the origin that grows with the number of VMs: the
// origin resets connections beyond its limit, and those of processes that lost power count towards it for a while.
func TestFewReadFromTheOrigin(t *testing.T) {
	for _, vms := range []int{16, 64, 400} {
		members := participants(vms, 3)
		readers := 0
		for _, m := range members {
			assigned := 0
			for _, chunks := range (Swarm{}.Layout("root", m.Id, members, 64)).OriginChunks {
				assigned += len(chunks)
			}
			if assigned > 0 {
				readers++
			}
		}
		assert.Assert(t, readers > 1 && readers <= 12, "%d of %d VMs read from the origin", readers, vms)
	}
}

// TestNeighboursAreBalancedAndClose guards against processes that serve many more neighbours than others, and against
// processes that a chunk reaches only after many hops.
func TestNeighboursAreBalancedAndClose(t *testing.T) {
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
	for hops := 1; len(reached) < vms; hops++ {
		assert.Assert(t, hops <= 6, "%d of %d members reached within 6 hops", len(reached), vms)
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

// TestTreeHasOneRoot guards against several processes that fetch from the origin, and against wrong parents.
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
