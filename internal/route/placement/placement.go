package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/queue"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// sampled bounds the upstreams that one choice looks at, so that its cost does not grow with the fleet.
	sampled = 48
	// runningCost is what a request in progress adds to the score: it makes later steps longer and takes a place.
	runningCost = 4 * time.Millisecond
	// plainCost is the same for plain services.
	plainCost = 10 * time.Millisecond
	// otherDomainCost and otherRegionCost are what the way to another failure domain or region is worth.
	otherDomainCost = 6 * time.Millisecond
	otherRegionCost = 20 * time.Millisecond
	// jitter keeps entry processes with the same knowledge from choosing the same upstream.
	jitter = 8 * time.Millisecond
	// avoidedCost makes an upstream that just failed the last to be chosen.
	avoidedCost = time.Minute
	// maxWaiting bounds the requests that wait for one service at one priority.
	maxWaiting = 256
	// plainSlots is the limit of running requests where the list names none.
	plainSlots = 8
)

// Options are what a placement works with.
type Options struct {
	Directory *directory.Directory
	Domain    string
	Region    string
	// SwitchBound is the time within which a named version replaces older ones everywhere.
	SwitchBound func() time.Duration
	// Entries returns the number of live entry processes.
	Entries func() int
}

// Placement keeps the load of all upstreams.
type Placement struct {
	options Options
	loads   atomic.Pointer[map[directory.Key]*Load]

	mu     sync.Mutex
	queues map[queueKey]*queue.Queue
	room   map[string]chan struct{}
}

// queueKey tells apart the requests that do not wait for each other's upstreams.
type queueKey struct {
	service  string
	priority int
	regions  string
}

// Need is what a request wants of an upstream.
type Need struct {
	Service  string
	Account  string
	Priority int
	// Regions are those that the route and the account allow; an empty list allows all.
	Regions [][]string
	// Backlog is the longest time for which the prompt may wait behind others at an upstream, 0 for any.
	Backlog time.Duration
	// PromptTokens is the length of the prompt, 0 where it is not known.
	PromptTokens int
	// Tried are the upstreams that are not to be chosen again.
	Tried []directory.Key
}

// Choice is an upstream with a place for one request, which must be released.
type Choice struct {
	Upstream *directory.Upstream
	Load     *Load
	// Held is the version that the upstream is believed to hold, 0 for plain services.
	Held uint64
	// StartBy is when the request must have begun because the version is due to be replaced, or zero.
	StartBy time.Time
	// Running is the load at the choice, Candidates the number of upstreams that could run the request.
	Running    int
	Candidates int

	placement *Placement
	// unread is the number of prompt tokens that count as unread until the answer begins.
	unread   int64
	released bool
}

// New returns a placement without upstreams.
func New(o Options) *Placement {
	p := &Placement{options: o, queues: map[queueKey]*queue.Queue{}, room: map[string]chan struct{}{}}
	p.loads.Store(&map[directory.Key]*Load{})
	return p
}

// Run keeps a load for each listed upstream until ctx ends.
func (p *Placement) Run(ctx context.Context) {
	for {
		changed := p.options.Directory.Changed()
		p.Refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Refresh takes over the upstreams of the current snapshot; it must not be called concurrently.
func (p *Placement) Refresh() {
	known := *p.loads.Load()
	next := make(map[directory.Key]*Load, len(known))
	s := p.options.Directory.Current()
	for name, service := range s.Services() {
		for _, u := range service.Upstreams {
			l := known[u.Key()]
			if l == nil {
				l = newLoad()
			}
			next[u.Key()] = l
		}
		defer p.wake(name)
	}
	p.loads.Store(&next)
}

// Report takes in the report of the upstream at address.
func (p *Placement) Report(address string, r hub.UpstreamReport) {
	s := p.options.Directory.Current()
	loads := *p.loads.Load()
	for name, service := range s.Services() {
		if service.Engine == nil {
			continue
		}
		for _, u := range service.Upstreams {
			if u.Address != address || u.Born != r.Born {
				continue
			}
			if l := loads[u.Key()]; l != nil {
				l.Report(r)
				p.wake(name)
			}
			return
		}
	}
}

// Choose returns the best upstream with room, or false.
func (p *Placement) Choose(n *Need) (Choice, bool) {
	snapshot := p.options.Directory.Current()
	service := snapshot.Service(n.Service)
	if service == nil || len(service.Upstreams) == 0 {
		return Choice{}, false
	}
	loads := *p.loads.Load()
	now := time.Now()
	oldest := p.oldestVersions(service, loads, now)
	best, bestScore, candidates := -1, time.Duration(0), 0
	first := rand.IntN(len(service.Upstreams))
	for i := range min(sampled, len(service.Upstreams)) {
		at := (first + i) % len(service.Upstreams)
		u := service.Upstreams[at]
		l := loads[u.Key()]
		if l == nil || !p.usable(snapshot, service, u, l, n, oldest.at(l)) {
			continue
		}
		candidates++
		total := l.total()
		if total >= p.limit(service, u) || l.full() || p.behind(service, l, n) {
			continue
		}
		if score := p.score(service, u, l, total); best < 0 || score < bestScore {
			best, bestScore = at, score
		}
	}
	if best < 0 {
		return Choice{Candidates: candidates}, false
	}
	u := service.Upstreams[best]
	l := loads[u.Key()]
	if now.Before(u.ColdUntil) && service.ColdPerSecond > 0 && !l.cold.take(service.ColdPerSecond/float64(max(1, p.options.Entries())), now) {
		return Choice{Candidates: candidates}, false
	}
	running := l.total()
	l.running.Add(1)
	held := l.held(u)
	c := Choice{
		Upstream: u, Load: l, Held: held, StartBy: p.startBy(service, held), Running: running, Candidates: candidates, placement: p,
	}
	if service.Engine != nil {
		c.unread = int64(cmp.Or(n.PromptTokens, service.Engine.UsualPrompt, 1))
		l.unread.Add(c.unread)
		l.waiting.Add(1)
	}
	return c, true
}

// Begun tells that the answer has begun, so that the prompt is read.
func (c *Choice) Begun() {
	if c.unread == 0 {
		return
	}
	c.Load.unread.Add(-c.unread)
	c.Load.waiting.Add(-1)
	c.unread = 0
}

// Release gives the place back.
func (c *Choice) Release() {
	if c.released || c.placement == nil {
		return
	}
	c.released = true
	c.Begun()
	c.Load.running.Add(-1)
	c.placement.wake(c.Upstream.Service)
}

// usable reports whether a request may be sent to an upstream by all that is known here.
func (p *Placement) usable(snapshot *directory.Snapshot, s *directory.Service, u *directory.Upstream, l *Load, n *Need, oldest uint64) bool {
	if u.Leaving || l.gone() || snapshot.Evacuated[u.Domain] || slices.Contains(n.Tried, u.Key()) {
		return false
	}
	for _, regions := range n.Regions {
		if len(regions) > 0 && !slices.Contains(regions, u.Region) {
			return false
		}
	}
	if s.Engine == nil {
		return true
	}
	held := l.held(u)
	return held != 0 && held >= oldest && !l.loading()
}

// behind reports whether the prompts that an upstream has yet to read would hold the request up too long.
func (p *Placement) behind(s *directory.Service, l *Load, n *Need) bool {
	return s.Engine != nil && n.Backlog > 0 && l.readTime(s.Engine) > n.Backlog
}

// limit returns the number of requests that an upstream is given at the same time.
func (p *Placement) limit(s *directory.Service, u *directory.Upstream) int {
	if s.Engine != nil {
		return s.Engine.Slots
	}
	if u.Slots > 0 {
		return u.Slots
	}
	return plainSlots
}

// score predicts the time until an answer begins, with what the choice costs others; lower is better.
func (p *Placement) score(s *directory.Service, u *directory.Upstream, l *Load, total int) time.Duration {
	score := time.Duration(total) * plainCost
	if e := s.Engine; e != nil {
		score = time.Duration(total)*runningCost + l.readTime(e)
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
