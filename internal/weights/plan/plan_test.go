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

func TestDutiesCoverEveryChunkOnceAndEvenly(t *testing.T) {
	for _, tc := range []struct{ members, chunks int }{{1, 10}, {3, 256}, {16, 256}, {60, 128}} {
		names := memberNames(tc.members)
		owners := Owners("root", names, tc.chunks)
		counts := make([]int, tc.members)
		for _, owner := range owners {
			counts[owner]++
		}
		for i, n := range counts {
			assert.Assert(t, n <= loadLimit(tc.chunks, tc.members), "member %d of %d takes %d chunks", i, tc.members, n)
		}
		for i, name := range names {
			assert.Equal(t, len(Duties("root", name, names, tc.chunks)[0]), counts[i])
		}
	}
}

// TestDutiesBarelyChangeWithOneMember wants that processes whose lists differ by one member agree on most chunks.
func TestDutiesBarelyChangeWithOneMember(t *testing.T) {
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

func TestEveryChunkHasTakersOfEachRank(t *testing.T) {
	names := memberNames(8)
	for rank := range MaxRank + 1 {
		takers := make([]int, 64)
		for _, name := range names {
			for _, chunk := range Duties("root", name, names, len(takers))[rank] {
				takers[chunk]++
			}
		}
		for chunk, n := range takers {
			assert.Equal(t, n, 1, "chunk %d, rank %d", chunk, rank)
		}
	}
}

// TestPlanEndsWhatever lets fetches fail at random and wants that no chunk is lost, none is on its way
// twice before the end game, and none is asked of a neighbour that lacks it.
func TestPlanEndsWhatever(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 8).Draw(t, "chunks")
		p := New(total, time.Hour, 1)
		holds := map[string]map[int]bool{"a": {}, "b": {}}
		for id := range holds {
			p.AddNeighbour(id, false)
		}
		flying := map[int]bool{}
		now := time.Now()
		for steps := 0; ; steps++ {
			assert.Assert(t, steps < 5000, "the plan does not end")
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
			assert.Assert(t, holds[id][next], "asked %s for a chunk that it lacks", id)
			assert.Assert(t, !flying[next] && !p.IsHeld(next), "fetched twice")
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				p.Failed(next, false)
				continue
			}
			p.Held(next, true)
		}
		<-p.Done()
	})
}

func TestCrossingWaitsForItsDuty(t *testing.T) {
	p := New(4, time.Hour, 1)
	p.AddNeighbour("far", true)
	p.NeighbourHolds("far", []int{0, 1, 2, 3})
	_, ok := p.Next("far", time.Now())
	assert.Assert(t, !ok, "a chunk crossed without a duty")
	assert.Assert(t, p.Starved())
	p.AllowCrossing([]int{2})
	chunk, ok := p.Next("far", time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, chunk, 2)
}

func TestEndGameDoublesOldFetches(t *testing.T) {
	p := New(1, time.Second, 1)
	now := time.Now()
	for _, id := range []string{"a", "b"} {
		p.AddNeighbour(id, false)
		p.NeighbourHolds(id, []int{0})
	}
	_, ok := p.Next("a", now)
	assert.Assert(t, ok)
	_, ok = p.Next("b", now)
	assert.Assert(t, !ok, "doubled at once")
	_, ok = p.Next("b", now.Add(2*time.Second))
	assert.Assert(t, ok, "never doubled")
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
				// A process follows a bounded number of neighbours, whatever the number of VMs.
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
						p.Failed(chunk, false)
					}
				}
			})
		}
	}
}

func BenchmarkDuties(b *testing.B) {
	for _, members := range []int{16, 200, 1000, 10000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			names := memberNames(members)
			for b.Loop() {
				Duties("root", names[0], names, 512)
			}
		})
	}
}

// Duties that another layout gives to somebody else are not carried out any more.
func TestOriginDutiesAreTakenBack(t *testing.T) {
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
