package allowance

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// minRateLimit replaces lower limits, in requests per second: an upstream shows in its responses when its limit ends.
const minRateLimit = 0.5

// RateShares divides the rate limits that upstreams name among the entry processes, so that all together keep to them.
//
// A limit of n requests per second is divided among at most n+1 processes. Each share lets at least one request through at
// once, so that a share for each of many processes would exceed a small limit. The processes that have a share are chosen by
// a hash, so that all that know the same processes choose the same ones.
type RateShares struct {
	// self is the ID of this process.
	self string
	// entries returns the IDs of the known entry processes.
	entries func() []string
	// assumed returns the number of entry processes that is assumed while no other is known.
	assumed func() int
}

// NewRateShares returns the shares of the process with ID self. entries returns the IDs of all entry processes that may
// send requests, assumed the number of them that is assumed while no other is known.
func NewRateShares(self string, entries func() []string, assumed func() int) *RateShares {
	return &RateShares{self: self, entries: entries, assumed: assumed}
}

// Of returns this process's share of the rate limit of an upstream, 0 if it has none. Both are in requests per second.
func (s *RateShares) Of(upstream string, perSecond float64) float64 {
	known, before := 1, 0
	own := shareRank(upstream, s.self)
	for _, id := range s.entries() {
		if id == s.self {
			continue
		}
		known++
		if shareRank(upstream, id) < own {
			before++
		}
	}
	if known == 1 {
		known = max(known, s.assumed())
	}
	perSecond = max(perSecond, minRateLimit)
	holders := int(min(float64(known), 1+math.Floor(perSecond)))
	if before >= holders {
		return 0
	}
	return perSecond / float64(holders)
}

// shareRank is the rank of an entry process for a share of an upstream's limit; lower ones come first.
func shareRank(upstream, entry string) uint64 { return xxhash.Sum64String(upstream + "/" + entry) }
