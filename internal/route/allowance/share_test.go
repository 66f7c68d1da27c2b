package allowance_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/route/allowance"
)

func entryIds(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("entry-", i))
	}
	return out
}

// shareOf returns the share of a process that knows the given ones.
func shareOf(self string, known []string, assumed int, perSecond float64) float64 {
	return allowance.NewRateShares(self, func() []string { return known }, func() int { return assumed }).Of("upstream", perSecond)
}

// Guards against shares whose sum differs from the limit, and against so many of them that their first requests exceed it.
func TestRateSharesSumUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := entryIds(rapid.IntRange(1, 60).Draw(t, "entries"))
		limit := rapid.Float64Range(0.5, 100).Draw(t, "limit")
		sum, holders := 0.0, 0
		for _, id := range ids {
			if share := shareOf(id, ids, 1, limit); share > 0 {
				sum += share
				holders++
			}
		}
		if math.Abs(sum-limit) > 1e-6*limit || float64(holders) > limit+1 {
			t.Fatalf("%d shares of %g sum up to %g", holders, limit, sum)
		}
	})
}

// Guards against a process that has just started, or is cut off from all others, taking the whole limit.
func TestProcessThatKnowsNoOtherTakesAShareOnly(t *testing.T) {
	assert.Equal(t, shareOf("entry-0", nil, 6, 12), 2.0)
	assert.Equal(t, shareOf("entry-0", []string{"entry-0"}, 6, 12), 2.0)
	assert.Equal(t, shareOf("entry-0", []string{"entry-0", "entry-1"}, 6, 12), 6.0)
}

// Guards against an upstream that names a limit of 0 getting no request any more, so that nobody learns when the limit ends.
func TestLimitOfZeroLetsAFewRequestsThrough(t *testing.T) {
	sum := 0.0
	for _, id := range entryIds(5) {
		sum += shareOf(id, entryIds(5), 1, 0)
	}
	assert.Assert(t, sum > 0 && sum < 1, "%g requests a second", sum)
}
