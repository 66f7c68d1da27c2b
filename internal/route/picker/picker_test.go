package picker

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// candidateList is a constant list of candidates.
type candidateList []hub.Candidate

func (l candidateList) Len() int               { return len(l) }
func (l candidateList) At(i int) hub.Candidate { return l[i] }

func TestNoCapacityReturnsNone(t *testing.T) {
	full := candidateList{{Limit: 1, Running: 1}, {Limit: 2, Running: 2}}
	chosen, _ := TwoChoices{}.Pick(full, 0)
	assert.Equal(t, chosen, -1)
	chosen, _ = TwoChoices{}.Pick(candidateList{}, 0)
	assert.Equal(t, chosen, -1)
}

// TestFindsOnlyCandidateWithCapacity has one candidate with free capacity among maxScanned candidates. The random sample
// often misses it; the search that follows must find it each time.
func TestFindsOnlyCandidateWithCapacity(t *testing.T) {
	candidates := make(candidateList, maxScanned)
	for i := range candidates {
		candidates[i] = hub.Candidate{Limit: 1, Running: 1}
	}
	candidates[7].Running = 0
	for range 100 {
		chosen, _ := TwoChoices{}.Pick(candidates, 0)
		assert.Equal(t, chosen, 7)
	}
}

func TestScorePenalizesDistanceAndSuspicion(t *testing.T) {
	near, _ := Score(hub.Candidate{Limit: 8, Latency: 0.1})
	far, _ := Score(hub.Candidate{Limit: 8, Latency: 0.1, Locality: hub.OtherRegion})
	suspect, _ := Score(hub.Candidate{Limit: 8, Latency: 0.1, Suspect: true})
	assert.Assert(t, near < far && far < suspect)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := make(candidateList, n)
			for i := range candidates {
				candidates[i] = hub.Candidate{Limit: 8, Running: i % 8, Latency: 0.1}
			}
			b.ReportAllocs()
			for b.Loop() {
				TwoChoices{}.Pick(candidates, 0)
			}
		})
	}
}
