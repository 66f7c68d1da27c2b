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

	// best is the one with the lowest score among those with room, without an upstream if none has room.
	best candidate
	// candidates is the number of compared upstreams that may run the request, with or without room, and that neither have
	// asked for a pause nor have got what their rate limits allow.
	candidates int
	// pauseLeft is the shortest time after which an upstream that has asked for a pause, or has got what its rate limit
	// allows, may run the request, 0 if there is none.
	pauseLeft time.Duration
	// loading is true if an engine could run the request but for the weights that it loads or lacks.
	loading bool

	// limited is the one with the lowest score among those that have a free slot and have reached their limit of requests in
	// flight. hasOthers is true if some candidate gets all of its slots and has not failed recently.
	limited   candidate
	hasOthers bool
	// unreachable is the one with the lowest score among those that have room and refused a connection a short time ago. reachable is
	// true if some candidate did not, with or without room.
	unreachable candidate
	reachable   bool
}

// candidate is an upstream that may run the request.
type candidate struct {
	upstream *directory.Upstream
	load     *Load
	score    time.Duration
	// running is the number of requests of this process at the upstream for which it has room, total that of all processes.
	running int64
	total   int
	// unreachable is true if its address refused a connection a short time ago.
	unreachable bool
}

// better reports whether c is to be preferred to other, which may have no upstream.
func (c *candidate) better(other *candidate) bool {
	return other.upstream == nil || c.score < other.score
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
		if i >= sampled && (f.best.upstream != nil || i >= maxSampled && f.onlyLimited()) {
			break
		}
		u := service.Upstreams[(first+i)%len(service.Upstreams)]
		l := loads[u.Key()]
		if l == nil || !p.mayRun(snapshot, u, l, r) {
			continue
		}
		if service.Engine != nil && !l.serves(u, oldest.at(l)) {
			f.loading = true
			continue
		}
		if left := max(l.pauseLeft(), p.rateLimitLeft(u.Id, l, f.now)); left > 0 {
			f.addPaused(left)
			continue
		}
		f.candidates++
		f.hasOthers = f.hasOthers || !l.limiter.Held() && !l.avoided()
		unreachable := l.unreachable()
		f.reachable = f.reachable || !unreachable
		if p.connectionsUsed(service, u, l) {
			continue
		}
		overrun := l.overrun(service, r)
		if overrun > 0 && allowed == 0 {
			allowed = p.allowedOverrun(snapshot, f, loads, r, oldest, first)
		}
		if overrun > allowed {
			continue
		}
		running := l.running.Load()
		total := l.totalWith(running)
		if !l.hasSlot(f.turn, p.limit(service, u), running, total) || l.inRefusalPause() || p.backlogged(service, l, r) || f.coldLimited(u, l) {
			continue
		}
		score := p.score(service, u, l, total) + time.Duration(overrunCost*float64(overrun))
		f.add(&candidate{upstream: u, load: l, score: score, running: running, total: total, unreachable: unreachable})
	}
	f.useLimited()
	f.useUnreachable()
	return f
}

// add adds a candidate with a free slot.
func (f *search) add(c *candidate) {
	first := &f.best
	switch {
	case c.unreachable:
		first = &f.unreachable
	case !c.load.limiter.Room(c.total, f.now):
		first = &f.limited
	}
	if c.better(first) {
		*first = *c
	}
}

// onlyLimited reports whether there is an upstream with a free slot, and all candidates have limits below their slots or have
// failed recently.
func (f *search) onlyLimited() bool { return f.limited.upstream != nil && !f.hasOthers }

// useLimited chooses an upstream beyond its limit if otherwise only ones that have failed recently can serve, so that limits
// don't refuse requests when all upstreams start at once.
func (f *search) useLimited() {
	hasBest := f.best.upstream != nil
	bestFails := hasBest && f.best.score >= avoidedCost
	if !hasBest && f.onlyLimited() || bestFails && f.limited.upstream != nil && f.limited.better(&f.best) {
		f.best = f.limited
	}
}

// useUnreachable chooses an upstream that refused a connection if all candidates did. While others have no room, a request waits for
// one of them: connections that are refused would take its attempts in a moment.
func (f *search) useUnreachable() {
	if f.best.upstream == nil && !f.reachable {
		f.best = f.unreachable
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
