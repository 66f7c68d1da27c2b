package picker

import (
	"math/rand/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// firstLooks is the number of random candidates that are compared.
	firstLooks = 3
	// moreLooks is the maximum number of consecutive candidates, from a random one, that are searched if none of the
	// random candidates has free capacity.
	moreLooks = 24
	// regionPenalty and remotePenalty are the factors on the score of a candidate in another failure domain of the
	// same region and in another region.
	regionPenalty = 1.15
	remotePenalty = 1.4
	// suspectPenalty is the factor on the score of a suspect candidate; it is so high that the candidate is chosen
	// only if there is no other.
	suspectPenalty = 1000
	// affinityBonus is the factor on the score of the candidate that is expected to have the prefix in its cache.
	affinityBonus = 0.6
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
	look := func(i int, bonus float64) {
		score, room := Score(c.At(i))
		score *= bonus
		switch {
		case !room || i == best || i == other:
		case best < 0 || score < bestScore:
			other, otherScore = best, bestScore
			best, bestScore = i, score
		case other < 0 || score < otherScore:
			other, otherScore = i, score
		}
	}
	if affinity != 0 {
		look(int(affinity%uint64(n)), affinityBonus)
	}
	for range min(n, firstLooks) {
		look(rand.IntN(n), 1)
	}
	if best >= 0 {
		return best, other
	}
	start := rand.IntN(n)
	for k := 0; k < min(n, moreLooks) && best < 0; k++ {
		look((start+k)%n, 1)
	}
	return best, other
}

// Score returns the score of a candidate, for which lower is better, and whether it has free capacity.
func Score(c hub.Candidate) (float64, bool) {
	room := c.Running < c.Limit
	load := float64(c.Running+1) / float64(max(1, c.Limit))
	latency := c.Latency
	if latency == 0 {
		latency = 0.001
	}
	score := load * latency
	switch c.Locality {
	case hub.SameRegion:
		score *= regionPenalty
	case hub.OtherRegion:
		score *= remotePenalty
	}
	if c.Suspect {
		score *= suspectPenalty
	}
	return score, room
}
