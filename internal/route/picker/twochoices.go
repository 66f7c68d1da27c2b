package picker

import (
	"math/rand/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// sampleSize is the number of random candidates that are compared.
	sampleSize = 3
	// maxScanned is the maximum number of consecutive candidates, from a random one, that are searched if none of the
	// random candidates has free capacity.
	maxScanned = 24
	// sameRegionPenalty and otherRegionPenalty are the factors on the score of a candidate in another failure domain
	// of the same region and in another region.
	sameRegionPenalty  = 1.15
	otherRegionPenalty = 1.4
	// suspectPenalty is the factor on the score of a suspect candidate; it is so high that the candidate is chosen
	// only if there is no other.
	suspectPenalty = 1000
	// affinityFactor is the factor on the score of the candidate that is expected to have the prefix in its cache.
	affinityFactor = 0.6
)

// TwoChoices compares a few random candidates by load, latency and distance.
// Its cost does not depend on the total number of candidates.
type TwoChoices struct{}

var _ hub.Picker = TwoChoices{}

// Pick returns the candidate with the lowest score and the second best among a few random candidates and the one that
// affinity selects. If none of them has free capacity, it returns the first one with capacity that a limited search
// finds.
func (TwoChoices) Pick(c hub.Candidates, affinity uint64) (int, int) {
	n := c.Len()
	if n == 0 {
		return -1, -1
	}
	best, other := -1, -1
	bestScore, otherScore := 0.0, 0.0
	consider := func(i int, factor float64) {
		score, hasCapacity := Score(c.At(i))
		score *= factor
		switch {
		case !hasCapacity || i == best || i == other:
		case best < 0 || score < bestScore:
			other, otherScore = best, bestScore
			best, bestScore = i, score
		case other < 0 || score < otherScore:
			other, otherScore = i, score
		}
	}
	if affinity != 0 {
		consider(int(affinity%uint64(n)), affinityFactor)
	}
	for range min(n, sampleSize) {
		consider(rand.IntN(n), 1)
	}
	if best >= 0 {
		return best, other
	}
	start := rand.IntN(n)
	for k := 0; k < min(n, maxScanned) && best < 0; k++ {
		consider((start+k)%n, 1)
	}
	return best, other
}

// Score returns the score of a candidate, for which lower is better, and whether it has free capacity.
func Score(c hub.Candidate) (float64, bool) {
	hasCapacity := c.Running < c.Limit
	load := float64(c.Running+1) / float64(max(1, c.Limit))
	latency := c.Latency
	if latency == 0 {
		latency = 0.001
	}
	score := load * latency
	switch c.Locality {
	case hub.SameRegion:
		score *= sameRegionPenalty
	case hub.OtherRegion:
		score *= otherRegionPenalty
	}
	if c.Suspect {
		score *= suspectPenalty
	}
	return score, hasCapacity
}
