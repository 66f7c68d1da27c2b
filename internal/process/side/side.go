package side

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
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
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/view"
	"github.com/oriolehub/oriolehub/internal/upstream/attempt"
	"github.com/oriolehub/oriolehub/internal/upstream/engine"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
	"github.com/oriolehub/oriolehub/internal/upstream/loader"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/weights/source"
	"github.com/oriolehub/oriolehub/internal/weights/topology"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Overrides replaces components of a side process in experiments and tests. Nil fields select the default.
type Overrides struct {
	Dial     link.DialFunc
	Pool     *replica.Pool
	Topology hub.Topology
	// WrapWeights returns the server to use in place of the chunk server, which is passed to it.
	WrapWeights func(message.DRPCWeightsServer) message.DRPCWeightsServer
	// Listen replaces net.Listen for the control listener.
	Listen func(address string) (net.Listener, error)
}

// Side is a running side process.
type Side struct {
	settings settings.Side
	journal  *journal.Journal
	security *settings.Security

	incarnation uint64

	catalog     *catalog.Catalog
	presence    *presence.Presence
	publisher   *view.Publisher
	link        *link.Client
	exchange    *exchange.Client
	guard       *guard.Guard
	ledger      *attempt.Ledger
	attempts    *attempt.Server
	cache       *replica.Cache
	chunkServer *transfer.Server
	loader      *loader.Loader
	server      *link.Server
	content     *http.Server
	admin       *admin.Server
	metrics     *metrics.Set

	contentURL string
	cancel     context.CancelFunc
	running    sync.WaitGroup
	leaving    atomic.Bool
}

// Start starts a side process, which runs until Stop or Kill.
func Start(s settings.Side, j *journal.Journal, overrides Overrides) (*Side, error) {
	if overrides.Dial == nil {
		overrides.Dial = link.Dial
	}
	if overrides.Topology == nil {
		overrides.Topology = topology.Swarm{}
	}
	if overrides.Listen == nil {
		overrides.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	base, err := url.Parse(s.Upstream.Url)
	if err != nil {
		return nil, fmt.Errorf("parse upstream URL: %w", err)
	}
	security, err := s.LoadSecurity(j.Logger(journal.Process))
	if err != nil {
		return nil, err
	}
	overrides.Dial = security.Dial(overrides.Dial)
	p := newSide(s, j, overrides)
	p.security = security
	p.catalog = catalog.New(p.incarnation)
	p.presence = presence.New(p.catalog, p.Member)
	p.publisher = view.NewPublisher(p.catalog, j.Logger(journal.State))
	p.exchange = exchange.NewClient(exchange.Options{
		Self: s.Id, Catalog: p.catalog, Link: p.link, Interval: exchange.Every(s.ExchangeInterval.Std()), Seeds: s.Peers, Log: j.Logger(journal.State),
	})
	p.assemble(base, overrides)
	if err := p.listen(overrides); err != nil {
		return nil, err
	}
	p.presence.Publish()
	p.run()
	return p, nil
}

func newSide(s settings.Side, j *journal.Journal, overrides Overrides) *Side {
	return &Side{
		settings: s,
		journal:  j,

		incarnation: uint64(time.Now().UnixMilli()),

		link:    link.NewClient(overrides.Dial),
		ledger:  attempt.NewLedger(),
		cache:   replica.NewCache(int64(s.Weights.MemoryLimit), overrides.Pool),
		metrics: metrics.NewSet(),
		guard: guard.New(guard.Options{
			MaxConcurrent:     s.Upstream.MaxConcurrent,
			StartConcurrent:   s.Upstream.StartConcurrent,
			SlowStartRequests: s.Upstream.SlowStartRequests,
		}),
	}
}

// assemble creates the components that need no listener.
func (p *Side) assemble(base *url.URL, overrides Overrides) {
	s := &p.settings
	sendPacer := pace.New(int64(s.Weights.LinkPerSecond))
	p.chunkServer = transfer.NewServer(p.cache, sendPacer)
	p.attempts = attempt.NewServer(attempt.ServerOptions{
		Incarnation: p.incarnation,
		Group:       s.Group,
		Guard:       p.guard,
		Ledger:      p.ledger,
		Runner:      attempt.NewRunner(base, s.Upstream.Kind == "Engine", sendPacer.AddLive),
		Root:        p.servingRoot,
		Log:         p.journal.Logger(journal.Routing),
	})
	if s.Upstream.Kind != "Engine" {
		p.guard.Unblock(guard.ReasonNotLoaded)
		return
	}
	var sources []hub.WeightSource
	for _, u := range s.Weights.Urls {
		sources = append(sources, source.New(u))
	}
	fetcher := transfer.NewFetcher(transfer.Options{
		Self:                 s.Id,
		Link:                 p.link,
		Cache:                p.cache,
		Pacer:                pace.New(int64(s.Weights.LinkPerSecond)),
		Sources:              sources,
		Topology:             overrides.Topology,
		OriginBytesPerSecond: int64(s.Weights.OriginPerSecond),
		Participants:         p.participants,
		Peers:                p.manifestPeers,
		Log:                  p.journal.Logger(journal.Placement),
	})
	p.loader = loader.New(loader.Options{
		Self:      s.Id,
		Group:     s.Group,
		Domain:    s.Domain,
		Engine:    engine.New(s.Upstream.Url),
		Guard:     p.guard,
		Publisher: p.publisher,
		Fetch:     fetcher,
		SourceURL: p.ContentURL,
		Log:       p.journal.Logger(journal.Placement),
	})
}

func (p *Side) servingRoot() string {
	if p.loader == nil {
		return ""
	}
	return p.loader.ServingRoot()
}

// participants returns the side processes that are alive and whose group has the weights with the given root digest as
// its target. This process always counts as alive.
func (p *Side) participants(root string) []hub.Member {
	v := p.publisher.Current()
	var out []hub.Member
	for _, m := range v.Members {
		if m.Role != hub.RoleSide {
			continue
		}
		target, ok := v.Target(m.Group)
		if ok && target.Root == root && (m.Alive() || m.Id == p.settings.Id) {
			out = append(out, m.Member)
		}
	}
	return out
}

// manifestPeers returns the addresses of the entry processes, which store the manifests that they have pinned, or the
// peers in the settings if no entry process is known.
func (p *Side) manifestPeers() []string {
	var out []string
	for _, m := range p.publisher.Current().Members {
		if m.Role == hub.RoleEntry && m.State != hub.StateGone {
			out = append(out, m.Address)
		}
	}
	if len(out) == 0 {
		return p.settings.Peers
	}
	return out
}

// listen opens the listeners and starts to serve on them.
func (p *Side) listen(overrides Overrides) error {
	control, err := overrides.Listen(p.settings.ControlListen)
	if err != nil {
		return fmt.Errorf("open control listener: %w", err)
	}
	content, err := net.Listen("tcp", p.settings.ContentListen)
	if err != nil {
		return fmt.Errorf("open content listener: %w", err)
	}
	adminListener, err := net.Listen("tcp", p.settings.AdminListen)
	if err != nil {
		return fmt.Errorf("open admin listener: %w", err)
	}
	var chunks message.DRPCWeightsServer = p.chunkServer
	if overrides.WrapWeights != nil {
		chunks = overrides.WrapWeights(p.chunkServer)
	}
	mux := drpcmux.New()
	for _, err := range []error{
		message.DRPCRegisterPeer(mux, exchange.NewServer(p.catalog, p.Member)),
		message.DRPCRegisterAttempts(mux, p.attempts),
		message.DRPCRegisterWeights(mux, chunks),
		message.DRPCRegisterOperator(mux, &operator{journal: p.journal}),
	} {
		if err != nil {
			return fmt.Errorf("register RPC services: %w", err)
		}
	}
	limits := &p.settings.Listeners
	limited, err := link.Limit(control, link.Limits{
		Connections: limits.ControlConnections, Bytes: limits.ControlBytes(0), Metrics: p.metrics, Log: p.journal.Logger(journal.Process),
	})
	if err != nil {
		return err
	}
	p.server = link.Serve(p.security.Listen(limited), p.security.Handle(mux), func(err error) {
		p.journal.Logger(journal.Process).Debug().Err(err).Msg("control connection closed with an error")
	})
	p.contentURL = "http://" + content.Addr().String() + contentPath
	limitedContent, err := limitContent(content, p.metrics, p.journal.Logger(journal.Process))
	if err != nil {
		return err
	}
	p.content = newContentServer(p.cache, limitedContent)
	go func() { _ = p.content.Serve(limitedContent) }()
	if p.admin, err = admin.Start(adminListener, limits.AdminConnections, p.metrics, p.journal.Logger(journal.Process), p.ready); err != nil {
		return err
	}
	p.registerMetrics()
	return nil
}

// ready returns the reason why the upstream is not ready for requests, or nil.
func (p *Side) ready() error {
	if r := p.guard.Blocked(); r != guard.ReasonNone {
		return fmt.Errorf("%s", r)
	}
	return nil
}

func (p *Side) registerMetrics() {
	p.metrics.NewGauge("oriolehub_upstream_limit", func() float64 { limit, _ := p.guard.Load(); return float64(limit) })
	p.metrics.NewGauge("oriolehub_upstream_running", func() float64 { _, running := p.guard.Load(); return float64(running) })
	p.metrics.NewGauge("oriolehub_chunk_bytes_sent", func() float64 { return float64(p.chunkServer.BytesSent()) })
	p.metrics.NewGauge("oriolehub_log_lines_dropped", func() float64 { return float64(p.journal.Dropped()) })
	p.metrics.NewGauge("oriolehub_rules_revision", func() float64 { return float64(p.publisher.Current().RulesRevision) })
}

// run starts the background tasks.
func (p *Side) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.publisher.Run(ctx) })
	p.running.Go(func() { p.exchange.Run(ctx) })
	p.running.Go(func() { p.ledger.Run(ctx) })
	p.running.Go(func() { p.applyRules(ctx) })
	p.running.Go(func() { p.presence.Run(ctx) })
	if p.loader != nil {
		p.running.Go(func() { p.loader.Run(ctx) })
	}
}

// applyRules blocks requests while no rules are known or the rules take this failure domain out of service. It runs
// until ctx is done.
func (p *Side) applyRules(ctx context.Context) {
	for {
		changed := p.publisher.Changed()
		v := p.publisher.Current()
		p.guard.SetBlocked(guard.ReasonNoRules, v.RulesRevision == 0)
		p.guard.SetBlocked(guard.ReasonDomainOut, v.RulesRevision != 0 && v.Rules.DomainOut(p.settings.Domain))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Address returns the address of the control listener.
func (p *Side) Address() string { return p.server.Address() }

// FetchProgress returns how many chunks of the newest weights are in memory, their total and, while any is missing, the
// root digest of these weights.
func (p *Side) FetchProgress() (held, total int, fetching string) {
	if p.loader == nil {
		return 0, 0, ""
	}
	progress := p.loader.Progress()
	return progress.ChunksHeld, progress.ChunksTotal, progress.FetchingRoot
}

// ContentURL returns the URL from which the engine downloads the weights with a root digest.
func (p *Side) ContentURL(root string) string { return p.contentURL + root }

// Guard returns the admission control of the upstream.
func (p *Side) Guard() *guard.Guard { return p.guard }

// RulesRevision returns the revision of the rules that this process uses.
func (p *Side) RulesRevision() uint64 { return p.publisher.Current().RulesRevision }

// Admitted returns the number of requests that were sent to the upstream.
func (p *Side) Admitted() int { return p.guard.Admitted() }

// BytesSent returns the number of bytes of chunks that were sent to other processes.
func (p *Side) BytesSent() int64 { return p.chunkServer.BytesSent() }
