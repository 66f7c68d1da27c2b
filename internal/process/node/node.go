package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/admin"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/presence"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/delegate"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const (
	// exchangeInterval is the mean interval between two rounds of state exchange while nothing changes. Changes are sent
	// at once. Side processes wait longer in a large deployment, up to maxSideExchangeInterval.
	exchangeInterval        = time.Second
	maxSideExchangeInterval = 3 * time.Second
	// startingExchangeInterval replaces exchangeInterval while an engine holds no weights: its side process must learn soon
	// who else fetches them.
	startingExchangeInterval = 400 * time.Millisecond
	// seedInterval is the interval between two exchanges with a random seed. After a restart of all processes, groups
	// that have records only of their own members must find each other before they assign the chunks that each member
	// fetches from the origin. In a large deployment each process waits longer, up to maxSeedInterval.
	seedInterval    = 700 * time.Millisecond
	maxSeedInterval = 7 * time.Second
	// fullRateMembers is the number of processes up to which intervals are not lengthened.
	fullRateMembers = 64
	// forgetInterval is the interval at which the records of former members are removed, forgetAfter the time without a
	// change after which the record of a member that is not alive is removed.
	forgetInterval = 5 * time.Second
	forgetAfter    = 30 * time.Second
	// peerDialTimeout is the time limit for connecting to another process or to the platform.
	peerDialTimeout = 500 * time.Millisecond
	// entriesPerPeer is the number of entry processes that is assumed for each peer in the settings while fewer are
	// known.
	entriesPerPeer = 2
	// silenceLimit is the time without a response of any other process after which a process reads the store itself, up
	// to silenceSpread more for each, so that not all begin at once.
	silenceLimit  = 2 * time.Second
	silenceSpread = 2 * time.Second
	// memoryLimitFraction is the fraction of the configured memory that is set as the memory limit of the Go runtime;
	// close to that limit the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// entryGCPercent and sideGCPercent are the growth of the heap in percent that triggers a garbage collection. The
	// value for side processes is lower to save memory: there are many of them, and they produce little garbage.
	entryGCPercent = 200
	sideGCPercent  = 50
)

// Platform holds the adapters to the systems of the platform on which the processes run.
type Platform struct {
	Decoder hub.StateDecoder
	Format  hub.CallFormat
	// Store, Engine and Source return clients that open their connections with dial.
	Store  func(address string, dial socket.DialFunc) hub.StateSource
	Engine func(address string, dial socket.DialFunc) hub.LocalUpstream
	Source func(o *hub.Origin, e *hub.EngineModel, dial socket.DialFunc) hub.WeightSource
}

// node holds the components that both roles have in common.
type node struct {
	// settings are the settings at startup.
	settings settings.Node
	// bounds and peers are replaced by Reload.
	bounds   atomic.Pointer[settings.NodeBounds]
	peers    atomic.Pointer[[]string]
	platform Platform
	journal  *journal.Journal
	role     string
	// incarnation is the start time of the process in Unix milliseconds.
	incarnation uint64

	dial      socket.DialFunc
	catalog   *catalog.Catalog
	directory *directory.Directory
	mirror    *mirror.Mirror
	presence  *presence.Presence
	link      *link.Client
	traffic   link.Traffic
	exchange  *exchange.Client
	reports   *net.UDPConn
	// quarantine is used by entry processes; side processes keep a copy for entry processes that restart.
	quarantine *quarantine.Quarantine
	server     *link.Server
	admin      *admin.Server
	metrics    *metrics.Set

	delegates *delegate.Chooser
	// silenceLimit is the time without a response of another process after which this one reads the store.
	silenceLimit time.Duration

	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

func newNode(s settings.Node, role string, j *journal.Journal, p Platform, record func() hub.Member) *node {
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMegabytes) * (1 << 20)))
	}
	if role == hub.RoleSide {
		debug.SetGCPercent(sideGCPercent)
	} else {
		debug.SetGCPercent(entryGCPercent)
	}
	n := &node{
		settings:    s,
		platform:    p,
		journal:     j,
		role:        role,
		incarnation: uint64(time.Now().UnixMilli()),
		dial:        socket.Dialer(peerDialTimeout),
		metrics:     metrics.NewSet(),

		silenceLimit: silenceLimit + rand.N(silenceSpread),
	}
	n.Reload(s)
	stateLog := j.Logger(journal.State)
	n.catalog = catalog.New(n.incarnation)
	n.delegates = delegate.NewChooser(n.catalog)
	n.directory = directory.New(directory.Options{
		Catalog: n.catalog, Decoder: p.Decoder, Regions: domainRegions(&s),
		InitialTargetAge: max(0, s.Bounds.Switch.Std()-s.Bounds.StartGrace.Std()), SwitchBound: s.Bounds.Switch.Std(), Log: stateLog,
	})
	n.mirror = mirror.New(mirror.Options{Source: p.Store(s.Store, n.dial), Decoder: p.Decoder, Catalog: n.catalog, Reads: n.readsStore, Log: stateLog})
	n.presence = presence.New(n.catalog, record)
	n.quarantine = quarantine.New(quarantine.Options{Log: j.Logger(journal.Routing), Metrics: n.metrics})
	n.link = link.NewClient(n.traffic.Dial(link.DialFunc(n.dial)))
	n.exchange = exchange.NewClient(exchange.Options{
		Self: s.Id, Catalog: n.catalog, Link: n.link, Interval: n.exchangeInterval, MoreSeeds: n.seedAddresses,
		Frequent: []string{mirror.DocumentUpstreams}, Prompt: n.needsListAtOnce, Required: mirror.Documents,
		SeedInterval: func() time.Duration { return min(maxSeedInterval, n.scaled(seedInterval)) }, TargetAges: n.directory, Log: stateLog,
	})
	return n
}

// scaled returns d lengthened so that what all processes together send in it does not grow beyond that of
// fullRateMembers processes.
func (n *node) scaled(d time.Duration) time.Duration {
	return d * time.Duration(max(fullRateMembers, len(n.catalog.Members()))) / fullRateMembers
}

// exchangeInterval returns the mean interval between two rounds of state exchange.
func (n *node) exchangeInterval() time.Duration {
	if n.role == hub.RoleEntry {
		return exchangeInterval
	}
	if self, _ := n.catalog.Member(n.settings.Id); self.State == hub.StateStarting {
		return startingExchangeInterval
	}
	return min(maxSideExchangeInterval, n.scaled(exchangeInterval))
}

// needsListAtOnce reports whether this process tells a neighbour at once that the list of upstreams has changed. Entry
// processes need the list for their requests, and side processes whose engines hold no weights to share the fetch; the
// others learn of it in the periodic exchanges.
func (n *node) needsListAtOnce(neighbour *hub.Member) bool {
	return n.role == hub.RoleEntry && (neighbour.Role == hub.RoleEntry || neighbour.State == hub.StateStarting)
}

// domainRegions returns the region of each failure domain in the settings.
func domainRegions(s *settings.Node) map[string]string {
	out := map[string]string{s.Domain: s.Region}
	for _, r := range s.Regions {
		out[r.Domain] = r.Region
	}
	return out
}

// listen opens the listeners of both roles and starts to serve on them. If weights is nil, the weights service is not
// registered.
func (n *node) listen(weights message.DRPCWeightsServer, record func() hub.Member, ready func() error) error {
	s := &n.settings
	control, err := net.Listen("tcp", cmp.Or(s.ControlBind, s.ControlListen))
	if err != nil {
		return fmt.Errorf("open control listener: %w", err)
	}
	reportAddr, err := net.ResolveUDPAddr("udp", s.ReportListen)
	if err != nil {
		return fmt.Errorf("resolve report address: %w", err)
	}
	if n.reports, err = net.ListenUDP("udp", reportAddr); err != nil {
		return fmt.Errorf("open report listener: %w", err)
	}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return fmt.Errorf("open admin listener: %w", err)
	}
	mux := drpcmux.New()
	if err := message.DRPCRegisterPeer(mux, n.exchange.NewServer(record)); err != nil {
		return fmt.Errorf("register exchange service: %w", err)
	}
	if weights != nil {
		if err := message.DRPCRegisterWeights(mux, weights); err != nil {
			return fmt.Errorf("register weights service: %w", err)
		}
	}
	limited, err := n.limitControl(control)
	if err != nil {
		return err
	}
	n.server = link.Serve(n.traffic.Listener(limited), mux, func(err error) {
		n.journal.Logger(journal.Process).Debug().Err(err).Msg("control connection closed with an error")
	})
	if n.admin, err = admin.Start(adminListener, s.Listeners.AdminConnections, n.metrics, n.journal.Logger(journal.Process), ready); err != nil {
		return err
	}
	n.metrics.NewGauge("oriolehub_log_lines_dropped", func() float64 { return float64(n.journal.Dropped()) })
	n.countTraffic()
	n.metrics.NewGauge("oriolehub_configuration_revision", func() float64 { return float64(n.directory.Current().Revision) })
	n.metrics.NewGauge("oriolehub_target_version_age_seconds", n.targetVersionAge)
	n.metrics.NewGauge("oriolehub_listed_upstreams", func() float64 { return float64(n.ListedUpstreams()) })
	n.metrics.NewGauge("oriolehub_store_reachable", func() float64 {
		if n.mirror.Reachable() {
			return 1
		}
		return 0
	})
	return nil
}

// countTraffic registers the metrics of the bytes exchanged with other processes.
func (n *node) countTraffic() {
	n.metrics.NewGauge(`oriolehub_peer_bytes_total{direction="received"}`, func() float64 { return float64(n.traffic.Received.Load()) })
	n.metrics.NewGauge(`oriolehub_peer_bytes_total{direction="sent"}`, func() float64 { return float64(n.traffic.Sent.Load()) })
	n.metrics.NewGauge(`oriolehub_document_bytes_total{form="whole"}`, func() float64 { return float64(n.catalog.BytesRead().Whole) })
	n.metrics.NewGauge(`oriolehub_document_bytes_total{form="delta"}`, func() float64 { return float64(n.catalog.BytesRead().Delta) })
}

// run starts the background tasks of both roles, which end when ctx is done.
func (n *node) run(ctx context.Context) {
	n.presence.Publish()
	n.running.Go(func() { n.directory.Run(ctx) })
	n.running.Go(func() { n.presence.Run(ctx) })
	n.running.Go(func() { n.exchange.Run(ctx) })
	n.running.Go(func() { n.forgetMembers(ctx) })
	n.running.Go(func() { n.shareNotices(ctx) })
}

// Reload applies the bounds and peers in s. It returns the other keys that differ from the settings at startup; they
// take effect only after a restart.
func (n *node) Reload(s settings.Node) []string {
	n.bounds.Store(&s.Bounds)
	n.peers.Store(&s.Peers)
	same := n.settings
	same.Bounds, same.Peers = s.Bounds, s.Peers
	return settings.ChangedKeys(same, s)
}

// ConfigurationRevision returns the revision of the configuration in use, 0 if none is known.
func (n *node) ConfigurationRevision() uint64 { return n.directory.Current().Revision }

// ListedUpstreams returns the number of upstreams in the list that this process acts on.
func (n *node) ListedUpstreams() int {
	listed := 0
	for _, service := range n.directory.Current().Services() {
		listed += len(service.Upstreams)
	}
	return listed
}

// switchBound returns the time within which upstreams must switch to a new target version.
func (n *node) switchBound() time.Duration { return n.bounds.Load().Switch.Std() }

// announceLeaving publishes the leaving state and exchanges it with other processes at once.
func (n *node) announceLeaving(ctx context.Context) {
	n.leaving.Store(true)
	n.presence.Publish()
	n.exchange.Round(ctx)
}

// shutdown stops the background tasks and closes the listeners and connections.
func (n *node) shutdown(ctx context.Context) {
	n.cancel()
	n.server.Close()
	n.admin.Close(ctx)
	_ = n.reports.Close()
	n.running.Wait()
	_ = n.link.Close()
}
