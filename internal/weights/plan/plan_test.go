package plan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
)

func memberNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%04d", i)
	}
	return names
}

// TestAssignmentsCoverEveryChunkOnceAndEvenly guards against owners that exceed the load limit, and against Assignments
// and Owners that disagree on the owner of a chunk.
func TestAssignmentsCoverEveryChunkOnceAndEvenly(t *testing.T) {
	for _, tc := range []struct{ members, chunks int }{{1, 10}, {3, 256}, {16, 256}, {60, 128}} {
		names := memberNames(tc.members)
		owners := Owners("root", names, tc.chunks)
		counts := make([]int, tc.members)
		for _, owner := range owners {
			counts[owner]++
		}
		for i, n := range counts {
			assert.Assert(t, n <= loadLimit(tc.chunks, tc.members), "member %d of %d owns %d chunks", i, tc.members, n)
		}
		for i, name := range names {
			assert.Equal(t, len(Assignments("root", name, names, tc.chunks)[0]), counts[i])
		}
	}
}

// TestAssignmentsBarelyChangeWithOneMember guards against an assignment of which a single joining or leaving member
// changes a large part: processes learn of members at different times and would then fetch most chunks twice.
func TestAssignmentsBarelyChangeWithOneMember(t *testing.T) {
	const members, chunks = 100, 512
	names := memberNames(members)
	all := Owners("root", names, chunks)
	fewer := Owners("root", names[:members-1], chunks)
	changed := 0
	for i := range all {
		if all[i] != fewer[i] {
			changed++
		}
	}
	assert.Assert(t, changed < chunks/5, "%d of %d owners changed", changed, chunks)
}

// TestEveryChunkHasOneMemberPerRank guards against chunks that have no member, or several, of some rank.
func TestEveryChunkHasOneMemberPerRank(t *testing.T) {
	names := memberNames(8)
	for rank := range MaxRank + 1 {
		counts := make([]int, 64)
		for _, name := range names {
			for _, chunk := range Assignments("root", name, names, len(counts))[rank] {
				counts[chunk]++
			}
		}
		for chunk, n := range counts {
			assert.Equal(t, n, 1, "chunk %d, rank %d", chunk, rank)
		}
	}
}

// TestPlanCompletesDespiteFailures lets fetches fail at random. It guards against chunks that are never fetched again
// after a failure, that are fetched although they are held, or that are requested from a neighbour without them.
func TestPlanCompletesDespiteFailures(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 8).Draw(t, "chunks")
		p := New(total, time.Hour, 1)
		holds := map[string]map[int]bool{"a": {}, "b": {}}
		for id := range holds {
			p.AddNeighbour(id, false)
		}
		inFlight := map[int]bool{}
		now := time.Now()
		for steps := 0; ; steps++ {
			assert.Assert(t, steps < 5000, "plan is not complete after 5000 steps")
			held, _ := p.Progress()
			if held == total {
				break
			}
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "neighbour")
			chunk := rapid.IntRange(0, total-1).Draw(t, "chunk")
			if !holds[id][chunk] {
				holds[id][chunk] = true
				p.NeighbourHolds(id, []int{chunk})
			}
			next, ok := p.Next(id, now)
			if !ok {
				continue
			}
			assert.Assert(t, holds[id][next], "requested a chunk from %s, which does not hold it", id)
			assert.Assert(t, !inFlight[next] && !p.IsHeld(next), "chunk is already held or in flight")
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				p.MarkFailed(next, false)
				continue
			}
			p.MarkHeld(next, true)
		}
		<-p.Done()
	})
}

// TestRemoteFetchRequiresAssignment guards against fetches from another region of chunks that are assigned to other
// members, which would transfer a chunk over the link between regions several times.
func TestRemoteFetchRequiresAssignment(t *testing.T) {
	p := New(4, time.Hour, 1)
	p.AddNeighbour("far", true)
	p.NeighbourHolds("far", []int{0, 1, 2, 3})
	_, ok := p.Next("far", time.Now())
	assert.Assert(t, !ok, "chunk fetched from another region without an assignment")
	assert.Assert(t, p.Starved())
	p.AllowRemote([]int{2})
	chunk, ok := p.Next("far", time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, chunk, 2)
}

// TestEndgameDuplicatesOldFetches guards against a second fetch of a chunk that starts before endgameAge, or never.
func TestEndgameDuplicatesOldFetches(t *testing.T) {
	p := New(1, time.Second, 1)
	now := time.Now()
	for _, id := range []string{"a", "b"} {
		p.AddNeighbour(id, false)
		p.NeighbourHolds(id, []int{0})
	}
	_, ok := p.Next("a", now)
	assert.Assert(t, ok)
	_, ok = p.Next("b", now)
	assert.Assert(t, !ok, "second fetch started before the endgame age")
	_, ok = p.Next("b", now.Add(2*time.Second))
	assert.Assert(t, ok, "no second fetch after the endgame age")
}

func BenchmarkNext(b *testing.B) {
	for _, vms := range []int{16, 1000, 10000} {
		for _, chunks := range []int{100, 10000, 100000} {
			b.Run(fmt.Sprintf("vms=%d/chunks=%d", vms, chunks), func(b *testing.B) {
				p := New(chunks, time.Hour, 1)
				all := make([]int, chunks)
				for i := range all {
					all[i] = i
				}
				// The number of neighbours of a process is limited, regardless of the number of VMs.
				ids := memberNames(min(12, vms-1))
				for _, id := range ids {
					p.AddNeighbour(id, false)
					p.NeighbourHolds(id, all)
				}
				now := time.Now()
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					chunk, ok := p.Next(ids[i%len(ids)], now)
					if ok {
						p.MarkFailed(chunk, false)
					}
				}
			})
		}
	}
}

func BenchmarkAssignments(b *testing.B) {
	for _, members := range []int{16, 200, 1000, 10000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			names := memberNames(members)
			for b.Loop() {
				Assignments("root", names[0], names, 512)
			}
		})
	}
}

// TestRevokedOriginAssignmentsAreNotFetched guards against fetches from the origin of chunks that a newer layout
// assigns to another member.
func TestRevokedOriginAssignmentsAreNotFetched(t *testing.T) {
	p := New(6, time.Second, 1)
	p.SetOrigin([]int{0, 1, 2, 3, 4, 5})
	first, ok := p.NextFromOrigin(time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, first, 0)
	p.SetOrigin([]int{4})
	next, ok := p.NextFromOrigin(time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, next, 4)
	_, ok = p.NextFromOrigin(time.Now())
	assert.Assert(t, !ok)
}
