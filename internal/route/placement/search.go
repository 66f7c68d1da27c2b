package placement

import (
	"math/rand/v2"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// maxSampled limits the upstreams that one choice compares, so that its cost does not grow with the fleet.
	maxSampled = 48
	// crowdSampled replaces maxSampled if there are more than fewEntries entry processes: if each of them compared most
	// upstreams, all would choose the same one until its next report.
	crowdSampled = 8
	fewEntries   = 6
)

// search is the search for the best upstream of a service for one request.
type search struct {
	now     time.Time
	service *directory.Service
	// entries is the number of entry processes that share the limits of upstreams.
	entries int
	// turn is the place of this process in the order of all entry processes.
	turn Turn

	// best is the upstream with the lowest score among those with room, nil if none has room.
	best      *directory.Upstream
	bestLoad  *Load
	bestScore time.Duration
	// candidates is the number of compared upstreams that may run the request, with or without room, and that neither have
	// asked for a pause nor have got what their rate limits allow.
	candidates int
	// pauseLeft is the shortest time after which an upstream that has asked for a pause, or has got what its rate limit
	// allows, may run the request, 0 if there is none.
	pauseLeft time.Duration

	// limited is the upstream with the lowest score among those that have a free slot and have reached their limit of requests
	// in flight. hasOthers is true if some candidate gets all of its slots and has not failed recently.
	limited      *directory.Upstream
	limitedLoad  *Load
	limitedScore time.Duration
	hasOthers    bool
}

// search compares a limited number of upstreams from a random one on, and further ones only until one with room is found.
func (p *Placement) search(snapshot *directory.Snapshot, service *directory.Service, r *Requirements) *search {
	entries := p.options.Entries()
	f := &search{now: time.Now(), service: service, entries: entries, turn: p.turn()}
	sampled := maxSampled
	if entries > fewEntries {
		sampled = crowdSampled
	}
	loads := *p.loads.Load()
	oldest := p.oldestVersions(service, loads, f.now)
	first := rand.IntN(len(service.Upstreams))
	allowed := time.Duration(0)
	for i := range service.Upstreams {
		if i >= sampled && (f.best != nil || i >= maxSampled && f.onlyLimited()) {
			break
		}
		u := service.Upstreams[(first+i)%len(service.Upstreams)]
		l := loads[u.Key()]
		if l == nil || !p.usable(snapshot, service, u, l, r, oldest.at(l)) {
			continue
		}
		if left := max(l.pauseLeft(), p.rateLimitLeft(u.Id, l, f.now)); left > 0 {
			f.addPaused(left)
			continue
		}
		f.candidates++
		f.hasOthers = f.hasOthers || !l.limiter.Held() && !l.avoided()
		if p.connectionsUsed(service, u, l) {
			continue
		}
		overrun := l.overrun(service, r)
		if overrun > 0 && allowed == 0 {
			allowed = p.allowedOverrun(snapshot, service, loads, r, oldest, first)
		}
		if overrun > allowed {
			continue
		}
		total := l.total()
		if !l.hasSlot(f.turn, p.limit(service, u), total) || l.inRefusalPause() || p.backlogged(service, l, r) || f.coldLimited(u, l) {
			continue
		}
		f.add(u, l, p.score(service, u, l, total)+time.Duration(overrunCost*float64(overrun)), total)
	}
	f.useLimited()
	return f
}

// add adds a candidate with a free slot.
func (f *search) add(u *directory.Upstream, l *Load, score time.Duration, total int) {
	switch {
	case !l.limiter.Room(total, f.now):
		if f.limited == nil || score < f.limitedScore {
			f.limited, f.limitedLoad, f.limitedScore = u, l, score
		}
	case f.best == nil || score < f.bestScore:
		f.best, f.bestLoad, f.bestScore = u, l, score
	}
}

// onlyLimited reports whether there is an upstream with a free slot, and all candidates have limits below their slots or have
// failed recently.
func (f *search) onlyLimited() bool { return f.limited != nil && !f.hasOthers }

// useLimited chooses an upstream beyond its limit if otherwise only ones that have failed recently can serve, so that limits
// don't refuse requests when all upstreams start at once.
func (f *search) useLimited() {
	bestFails := f.best != nil && f.bestScore >= avoidedCost
	if f.best == nil && f.onlyLimited() || bestFails && f.limited != nil && f.limitedScore < f.bestScore {
		f.best, f.bestLoad, f.bestScore = f.limited, f.limitedLoad, f.limitedScore
	}
}

// addPaused counts an upstream that may run the request only after left.
func (f *search) addPaused(left time.Duration) {
	if f.pauseLeft == 0 || left < f.pauseLeft {
		f.pauseLeft = left
	}
}

// isCold reports whether the rate of the requests to u is limited because it is cold.
func (f *search) isCold(u *directory.Upstream) bool {
	return f.now.Before(u.ColdUntil) && f.service.ColdPerSecond > 0
}

// coldLimited reports whether u is cold and this process must not send it a request now.
func (f *search) coldLimited(u *directory.Upstream, l *Load) bool {
	return f.isCold(u) && l.cold.reached(f.coldTurns(u), f.now)
}

// coldTurns returns the turns of this process at a cold upstream.
func (f *search) coldTurns(u *directory.Upstream) coldTurns {
	return newColdTurns(u, f.turn, f.entries, f.service.ColdPerSecond)
}
