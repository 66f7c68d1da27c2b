package placement

import (
	"context"
	"net/netip"
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
	// maxWaiting limits the length of a queue, which holds the requests with the same service, priority and allowed
	// regions.
	maxWaiting = 256
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
	queues map[queueKey]*regionalQueue
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

// regionalQueue is a queue with the allowed regions of its requests.
type regionalQueue struct {
	*queue.Queue
	regions [][]string
}

// New returns a Placement without upstreams.
func New(o Options) *Placement {
	p := &Placement{
		options: o, queues: map[queueKey]*regionalQueue{}, room: map[string]chan struct{}{},
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
