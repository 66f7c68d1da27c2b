package picker

import (
	"math/rand/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// firstLooks is the number of candidates compared at first.
	firstLooks = 3
	// moreLooks is the number looked at one by one when none of the first has room.
	moreLooks = 24
	// regionPenalty and remotePenalty weigh the distance against load.
	regionPenalty = 1.15
	remotePenalty = 1.4
	// suspectPenalty makes a suspect upstream the last resort.
	suspectPenalty = 1000
	// affinityBonus is how much better the upstream with the cached prefix counts.
	affinityBonus = 0.6
)

// TwoChoices compares a few random candidates by load, latency and distance.
// Its cost does not depend on the number of candidates.
type TwoChoices struct{}

var _ hub.Picker = TwoChoices{}

// Pick returns the better of a few random candidates with room, and the runner-up.
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

// Score returns the cost of a candidate, lower is better, and whether it has room.
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
