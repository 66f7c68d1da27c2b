package placement

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/route/queue"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// maxSampled limits the upstreams that one choice compares, so that its cost does not grow with the fleet.
	maxSampled = 48
	// crowdSampled replaces maxSampled if there are more than fewEntries entry processes: if each of them compared most
	// upstreams, all would choose the same one until its next report.
	crowdSampled = 8
	fewEntries   = 6
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
	// maxWaiting limits the length of a queue, which holds the requests with the same service, priority and allowed
	// regions.
	maxWaiting = 256
	// defaultPlainSlots is the limit of concurrent requests at an upstream of a plain service that sets none.
	defaultPlainSlots = 8
	// maxUnlistedLoads limits the upstreams that are no longer listed and whose Load is kept because they are leaving,
	// have asked for a pause or have named a rate limit: an entry may come back to the list.
	maxUnlistedLoads = 1024
)

// Options are the settings and dependencies of a Placement.
type Options struct {
	Directory *directory.Directory
	// Domain and Region are the failure domain and the region of this process.
	Domain string
	Region string
	// SwitchBound returns the time after a version is set as the target within which it must replace older versions
	// at all upstreams.
	SwitchBound func() time.Duration
	// Entries returns the number of live entry processes.
	Entries func() int
	// Turn returns the place of this process in the order of all entry processes; nil means that there is no other.
	Turn func() Turn
	// Connections returns the number of connections to the upstream at address that this process may use now, if the
	// upstream accepts limit connections from all entry processes. It may be nil.
	Connections func(address string, limit int) int
	// RateShare returns this process's share, in requests per second, of the rate limit of an upstream.
	RateShare func(upstream string, perSecond float64) float64
	// Concurrency are the settings of the limits of the requests in flight at new, recovered and slow upstreams.
	Concurrency concurrency.Settings
	// Log and Metrics are nil if changes of these limits are not logged and counted.
	Log     *log.Logger
	Metrics *metrics.Set
}

// Placement chooses upstreams and estimates their load. It is safe for concurrent use, except Refresh.
type Placement struct {
	options Options
	loads   atomic.Pointer[map[directory.Key]*Load]
	// engines holds the listed engines by address.
	engines atomic.Pointer[map[netip.AddrPort]listedEngine]
	monitor *concurrency.Monitor
	// peers and listed are used by Refresh only. listed holds the time at which a service first had upstreams.
	peers  map[peersKey]*concurrency.Peers
	listed map[string]time.Time

	mu     sync.Mutex
	queues map[queueKey]*queue.Queue
	// room holds, by service, the channel that is closed when an upstream may have room.
	room map[string]chan struct{}
	// pressures holds the pressure of each service.
	pressures sync.Map
}

// listedEngine is a listed run of an engine.
type listedEngine struct {
	service string
	born    int64
	load    *Load
}

// queueKey identifies a queue. Requests with the same key share a queue.
type queueKey struct {
	service  string
	priority int
	// regions is the text form of Requirements.Regions.
	regions string
}

// Requirements determine which upstreams a request may be sent to and how it is queued.
type Requirements struct {
	Service string
	// Account is the name of the client account, empty if there is none.
	Account string
	// Priority is the priority in the queue; lower values are served first.
	Priority int
	// Regions holds the allowed regions of the route and of the account. An upstream's region must be in each of the
	// lists; an empty list allows all regions.
	Regions [][]string
	// Backlog is the maximum time for which the prompt may wait behind others at an upstream, 0 for no limit.
	Backlog time.Duration
	// PromptTokens is the length of the prompt, 0 if unknown.
	PromptTokens int
	// Tried lists the upstreams that must not be chosen again.
	Tried []directory.Key
}

// Choice is a chosen upstream with a slot reserved for one request. Release must be called after use.
// A Choice is not safe for concurrent use.
type Choice struct {
	Upstream *directory.Upstream
	Load     *Load
	// Held is the version that the upstream was serving when it was chosen, 0 for plain services.
	Held uint64
	// StartBy is the time by which the response must have started because the upstream's version is due to be
	// replaced; zero if it is not.
	StartBy time.Time
	// Running is the estimated number of requests at the upstream before this one.
	Running int
	// Candidates is the number of compared upstreams that may run the request, with or without room.
	Candidates int
	// ReportAge is the age of the upstream's last report, -1 if it has sent none.
	ReportAge time.Duration
	// PauseLeft is the time until the first of the upstreams that have asked for a pause, or have got what their rate
	// limits allow, may run the request, 0 if there is none. It is set only if no upstream was chosen.
	PauseLeft time.Duration

	placement *Placement
	// pendingTokens is the number of prompt tokens that the Load counts until the response starts.
	pendingTokens int64
	released      bool
	// chosenAt is the time of the choice, explained the time that the prompts that wait at the upstream, with that of the
	// request, take by the engine's model. arrived is true once the response has arrived.
	chosenAt  time.Time
	explained time.Duration
	arrived   bool
}

// New returns a Placement without upstreams.
func New(o Options) *Placement {
	p := &Placement{
		options: o, queues: map[queueKey]*queue.Queue{}, room: map[string]chan struct{}{},
		peers: map[peersKey]*concurrency.Peers{}, listed: map[string]time.Time{},
	}
	if o.Metrics != nil {
		p.monitor = concurrency.NewMonitor(o.Log, o.Metrics, p.belowSlots)
	}
	p.loads.Store(&map[directory.Key]*Load{})
	p.engines.Store(&map[netip.AddrPort]listedEngine{})
	return p
}

// Run calls Refresh for each new snapshot of the directory until ctx is done.
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

// Refresh adopts the upstreams of the directory's current snapshot. It must not be called concurrently.
func (p *Placement) Refresh() {
	known := *p.loads.Load()
	next := make(map[directory.Key]*Load, len(known))
	engines := make(map[netip.AddrPort]listedEngine, len(known))
	s := p.options.Directory.Current()
	for name, service := range s.Services() {
		for _, u := range service.Upstreams {
			l := p.load(known, service, u)
			next[u.Key()] = l
			if address, err := netip.ParseAddrPort(u.Address); err == nil && service.Engine != nil {
				engines[address] = listedEngine{service: name, born: u.Born, load: l}
			}
		}
		defer p.wake(name)
	}
	p.setPeers(s, next)
	keepUnlisted(next, known)
	p.loads.Store(&next)
	p.engines.Store(&engines)
}

// keepUnlisted copies up to maxUnlistedLoads entries of known that must not be forgotten to next.
func keepUnlisted(next, known map[directory.Key]*Load) {
	left := maxUnlistedLoads
	for key, l := range known {
		if left == 0 {
			return
		}
		if next[key] == nil && (l.leaving.Load() || l.pauseLeft() > 0 || l.RateLimit().Named) {
			next[key] = l
			left--
		}
	}
}

// Report updates the load of the engine that sent r. It ignores a report of an instance that is not listed, and one that
// is not newer than the last.
func (p *Placement) Report(r hub.SentReport) {
	e, ok := (*p.engines.Load())[r.Address]
	if !ok || e.born != r.Born || !e.load.Report(r) {
		return
	}
	p.wake(e.service)
}

// Choose chooses the upstream with the lowest score among those with room and reserves a slot there.
// If none has room, it returns false and sets only Candidates and PauseLeft.
func (p *Placement) Choose(r *Requirements) (Choice, bool) {
	snapshot := p.options.Directory.Current()
	service := snapshot.Service(r.Service)
	if service == nil || len(service.Upstreams) == 0 {
		return Choice{}, false
	}
	search := p.search(snapshot, service, r)
	if search.best == nil {
		return Choice{Candidates: search.candidates, PauseLeft: search.pauseLeft}, false
	}
	u, l := search.best, search.bestLoad
	if search.isCold(u) && !l.cold.take(search.coldRefill(), search.now) {
		return Choice{Candidates: search.candidates}, false
	}
	if !p.takeRateLimit(u.Id, l, search.now) {
		return Choice{Candidates: search.candidates}, false
	}
	running := l.total()
	l.running.Add(1)
	l.limiter.Started(running, search.now)
	held := l.held(u)
	c := Choice{
		Upstream: u, Load: l, Held: held, StartBy: p.startBy(service, held), Running: running, Candidates: search.candidates, ReportAge: l.reportAge(), placement: p, chosenAt: search.now,
	}
	if service.Engine != nil {
		c.pendingTokens = int64(cmp.Or(r.PromptTokens, service.Engine.UsualPrompt, 1))
		l.pendingTokens.Add(c.pendingTokens)
		l.pendingRequests.Add(1)
		c.explained = l.modelTime(service.Engine)
	}
	return c, true
}

// HasRoom reports whether Choose would find an upstream.
func (p *Placement) HasRoom(r *Requirements) bool {
	snapshot := p.options.Directory.Current()
	service := snapshot.Service(r.Service)
	return service != nil && len(service.Upstreams) > 0 && p.search(snapshot, service, r).best != nil
}

// ResponseStarted must be called when the response has started: its prompt no longer counts as waiting. Further calls
// have no effect.
func (c *Choice) ResponseStarted() {
	if c.pendingTokens == 0 {
		return
	}
	c.Load.pendingTokens.Add(-c.pendingTokens)
	c.Load.pendingRequests.Add(-1)
	c.pendingTokens = 0
}

// Release frees the slot. Further calls have no effect.
func (c *Choice) Release() {
	if c.released || c.placement == nil {
		return
	}
	c.released = true
	c.ResponseStarted()
	c.Load.running.Add(-1)
	c.placement.wake(c.Upstream.Service)
}

// usable reports whether a request may be sent to an upstream, apart from its load. oldest is the oldest version that
// the upstream may serve.
func (p *Placement) usable(snapshot *directory.Snapshot, s *directory.Service, u *directory.Upstream, l *Load, r *Requirements, oldest uint64) bool {
	if u.Leaving || l.leaving.Load() || l.misdirected() || snapshot.Evacuated[u.Domain] || slices.Contains(r.Tried, u.Key()) {
		return false
	}
	for _, regions := range r.Regions {
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

// backlogged reports whether the prompts that wait at an engine would delay the request beyond its allowed backlog.
func (p *Placement) backlogged(s *directory.Service, l *Load, r *Requirements) bool {
	return s.Engine != nil && r.Backlog > 0 && l.prefillTime(s.Engine) > r.Backlog
}

// turn returns the place of this process in the order of all entry processes.
func (p *Placement) turn() Turn {
	if p.options.Turn == nil {
		return Turn{Entries: 1}
	}
	return p.options.Turn()
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
