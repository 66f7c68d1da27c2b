package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// runningCost is the score of a request in progress at an engine: it slows down the engine's decoding steps and
	// occupies a slot.
	runningCost = 4 * time.Millisecond
	// plainRunningCost is the score of a request in progress at a plain service.
	plainRunningCost = 10 * time.Millisecond
	// otherDomainCost and otherRegionCost are the scores of the network distance to another failure domain of the same
	// region and to another region.
	otherDomainCost = 6 * time.Millisecond
	otherRegionCost = 20 * time.Millisecond
	// jitter is the upper limit of a random score that keeps entry processes with the same reports from all choosing
	// the same upstream.
	jitter = 8 * time.Millisecond
	// avoidedCost puts an upstream that has failed recently or stopped reporting behind all others.
	avoidedCost = time.Minute
	// defaultPlainSlots is the limit of concurrent requests at an upstream of a plain service that sets none.
	defaultPlainSlots = 8
)

// mayRun reports whether a request may be sent to an upstream, apart from its load and its weights.
func (p *Placement) mayRun(snapshot *directory.Snapshot, u *directory.Upstream, l *Load, r *Requirements) bool {
	if u.Leaving || l.leaving.Load() || l.misdirected() || snapshot.Evacuated[u.Domain] || slices.Contains(r.Tried, u.Key()) {
		return false
	}
	for _, regions := range r.Regions {
		if len(regions) > 0 && !slices.Contains(regions, u.Region) {
			return false
		}
	}
	return true
}

// serves reports whether the engine u has the weights of a version that is not older than oldest, and loads no others.
func (l *Load) serves(u *directory.Upstream, oldest uint64) bool {
	held := l.held(u)
	return held != 0 && held >= oldest && !l.loading()
}

// backlogged reports whether the prompts that wait at an engine would delay the request beyond its allowed backlog.
func (p *Placement) backlogged(s *directory.Service, l *Load, r *Requirements) bool {
	return s.Engine != nil && r.Backlog > 0 && l.prefillTime(s.Engine) > r.Backlog
}

// limit returns the maximum number of concurrent requests at an upstream.
func (p *Placement) limit(s *directory.Service, u *directory.Upstream) int {
	if s.Engine != nil {
		return s.Engine.Slots
	}
	if u.Slots > 0 {
		return u.Slots
	}
	return defaultPlainSlots
}

// score returns the predicted time until the response starts plus costs for the delay of other requests; lower is
// better.
func (p *Placement) score(s *directory.Service, u *directory.Upstream, l *Load, total int) time.Duration {
	score := time.Duration(total) * plainRunningCost
	if e := s.Engine; e != nil {
		score = time.Duration(total)*runningCost + l.prefillTime(e) + l.slowness(e)
	}
	switch {
	case u.Domain == p.options.Domain:
	case u.Region == p.options.Region:
		score += otherDomainCost
	default:
		score += otherRegionCost
	}
	if l.avoided() {
		score += avoidedCost
	}
	return score + rand.N(jitter)
}
