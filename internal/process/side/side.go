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

// Extras replace parts of a side process in experiments and tests.
type Extras struct {
	Dial     link.DialFunc
	Pool     *replica.Pool
	Topology hub.Topology
	// WrapWeights puts a server in front of the one that gives chunks.
	WrapWeights func(message.DRPCWeightsServer) message.DRPCWeightsServer
	// SourceTransport carries the calls to the weight sources.
	SourceTransport http.RoundTripper
	// Listen opens listeners in place of net.Listen.
	Listen func(address string) (net.Listener, error)
}

// Side is a running side process.
type Side struct {
	settings settings.Side
	journal  *journal.Journal
	security *settings.Security

	incarnation uint64

	catalog  *catalog.Catalog
	presence *presence.Presence
	keeper   *view.Publisher
	link     *link.Client
	exchange *exchange.Client
	guard    *guard.Guard
	ledger   *attempt.Ledger
	attempts *attempt.Server
	shelf    *replica.Cache
	chunks   *transfer.Server
	loader   *loader.Loader
	server   *link.Server
	content  *http.Server
	admin    *admin.Server
	metrics  *metrics.Set

	contentURL string
	cancel     context.CancelFunc
	running    sync.WaitGroup
	leaving    atomic.Bool
}

// Start runs a side process until Stop.
func Start(s settings.Side, j *journal.Journal, x Extras) (*Side, error) {
	if x.Dial == nil {
		x.Dial = link.Dial
	}
	if x.Topology == nil {
		x.Topology = topology.Swarm{}
	}
	if x.Listen == nil {
		x.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	base, err := url.Parse(s.Upstream.Url)
	if err != nil {
		return nil, fmt.Errorf("upstream URL: %w", err)
	}
	security, err := s.Open(j.Logger(journal.Process))
	if err != nil {
		return nil, err
	}
	x.Dial = security.Dial(x.Dial)
	p := newSide(s, j, x)
	p.security = security
	p.catalog = catalog.New(p.incarnation)
	p.presence = presence.New(p.catalog, p.Member)
	p.keeper = view.NewPublisher(p.catalog, j.Logger(journal.State))
	p.exchange = exchange.NewClient(exchange.Options{
		Self: s.Id, Catalog: p.catalog, Link: p.link, Interval: s.ExchangeInterval.Std(), Seeds: s.Peers, Log: j.Logger(journal.State),
	})
	p.assemble(base, x)
	if err := p.listen(x); err != nil {
		return nil, err
	}
	p.presence.Publish()
	p.run()
	return p, nil
}

func newSide(s settings.Side, j *journal.Journal, x Extras) *Side {
	return &Side{
		settings: s,
		journal:  j,

		incarnation: uint64(time.Now().UnixMilli()),

		link:    link.NewClient(x.Dial),
		ledger:  attempt.NewLedger(),
		shelf:   replica.NewCache(int64(s.Weights.MemoryLimit), x.Pool),
		metrics: metrics.NewSet(),
		guard: guard.New(guard.Options{
			MaxConcurrent:     s.Upstream.MaxConcurrent,
			StartConcurrent:   s.Upstream.StartConcurrent,
			SlowStartRequests: s.Upstream.SlowStartRequests,
		}),
	}
}

// assemble wires the parts that don't listen.
func (p *Side) assemble(base *url.URL, x Extras) {
	s := &p.settings
	sending := pace.New(int64(s.Weights.LinkPerSecond))
	p.chunks = transfer.NewServer(p.shelf, sending)
	p.attempts = attempt.NewServer(attempt.ServerOptions{
		Incarnation: p.incarnation,
		Group:       s.Group,
		Guard:       p.guard,
		Ledger:      p.ledger,
		Runner:      attempt.NewRunner(base, s.Upstream.Kind == "Engine", sending.AddLive),
		Root:        p.servingRoot,
		Log:         p.journal.Logger(journal.Routing),
	})
	if s.Upstream.Kind != "Engine" {
		p.guard.Unblock(guard.ReasonNotLoaded)
		return
	}
	var sources []hub.WeightSource
	for _, u := range s.Weights.Urls {
		sources = append(sources, source.New(u, x.SourceTransport))
	}
	fetcher := transfer.NewFetcher(transfer.Options{
		Self:                 s.Id,
		Link:                 p.link,
		Cache:                p.shelf,
		Pacer:                pace.New(int64(s.Weights.LinkPerSecond)),
		Sources:              sources,
		Topology:             x.Topology,
		OriginBytesPerSecond: int64(s.Weights.OriginPerSecond),
		Participants:         p.participants,
		Peers:                p.manifestPeers,
		Log:                  p.journal.Logger(journal.Placement),
	})
	p.loader = loader.New(loader.Options{
		Self:      s.Id,
		Group:     s.Group,
		Domain:    s.Domain,
		Engine:    engine.New(s.Upstream.Url, nil),
		Guard:     p.guard,
		Keeper:    p.keeper,
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

// participants returns the living side processes whose group is to serve the weights with a root digest.
func (p *Side) participants(root string) []hub.Member {
	v := p.keeper.Current()
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

// manifestPeers returns the addresses of entry processes, which keep the manifests that they pinned.
func (p *Side) manifestPeers() []string {
	var out []string
	for _, m := range p.keeper.Current().Members {
		if m.Role == hub.RoleEntry && m.State != hub.StateGone {
			out = append(out, m.Address)
		}
	}
	if len(out) == 0 {
		return p.settings.Peers
	}
	return out
}

func (p *Side) listen(x Extras) error {
	control, err := x.Listen(p.settings.ControlListen)
	if err != nil {
		return fmt.Errorf("control listener: %w", err)
	}
	content, err := net.Listen("tcp", p.settings.ContentListen)
	if err != nil {
		return fmt.Errorf("content listener: %w", err)
	}
	adminListener, err := net.Listen("tcp", p.settings.AdminListen)
	if err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	var chunks message.DRPCWeightsServer = p.chunks
	if x.WrapWeights != nil {
		chunks = x.WrapWeights(p.chunks)
	}
	mux := drpcmux.New()
	for _, err := range []error{
		message.DRPCRegisterPeer(mux, exchange.NewServer(p.catalog, p.Member)),
		message.DRPCRegisterAttempts(mux, p.attempts),
		message.DRPCRegisterWeights(mux, chunks),
		message.DRPCRegisterOperator(mux, &operator{journal: p.journal}),
	} {
		if err != nil {
			return fmt.Errorf("register services: %w", err)
		}
	}
	p.server = link.Serve(p.security.Listen(control), p.security.Handle(mux), func(err error) {
		p.journal.Logger(journal.Process).Debug().Err(err).Msg("connection ended")
	})
	p.contentURL = "http://" + content.Addr().String() + contentPath
	p.content = newContentServer(p.shelf)
	go func() { _ = p.content.Serve(content) }()
	p.admin = admin.Start(adminListener, p.metrics, p.ready)
	p.registerMetrics()
	return nil
}

// ready reports why the upstream must not receive work, or nil.
func (p *Side) ready() error {
	if r := p.guard.Blocked(); r != guard.ReasonNone {
		return fmt.Errorf("%s", r)
	}
	return nil
}

func (p *Side) registerMetrics() {
	p.metrics.NewGauge("oriolehub_upstream_limit", func() float64 { limit, _ := p.guard.Load(); return float64(limit) })
	p.metrics.NewGauge("oriolehub_upstream_running", func() float64 { _, running := p.guard.Load(); return float64(running) })
	p.metrics.NewGauge("oriolehub_chunk_bytes_sent", func() float64 { return float64(p.chunks.BytesSent()) })
	p.metrics.NewGauge("oriolehub_log_lines_dropped", func() float64 { return float64(p.journal.Dropped()) })
	p.metrics.NewGauge("oriolehub_rules_revision", func() float64 { return float64(p.keeper.Current().RulesRevision) })
}

func (p *Side) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.keeper.Run(ctx) })
	p.running.Go(func() { p.exchange.Run(ctx) })
	p.running.Go(func() { p.ledger.Run(ctx) })
	p.running.Go(func() { p.followRules(ctx) })
	p.running.Go(func() { p.presence.Run(ctx) })
	if p.loader != nil {
		p.running.Go(func() { p.loader.Run(ctx) })
	}
}

// followRules refuses or admits work as the rules say.
func (p *Side) followRules(ctx context.Context) {
	for {
		changed := p.keeper.Changed()
		v := p.keeper.Current()
		p.guard.SetBlocked(guard.ReasonNoRules, v.RulesRevision == 0)
		p.guard.SetBlocked(guard.ReasonDomainOut, v.RulesRevision != 0 && v.Rules.DomainOut(p.settings.Domain))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Address returns the control address.
func (p *Side) Address() string { return p.server.Address() }

// Fetched returns the chunks held and their total of the newest weights, and their root digest while they are incomplete.
func (p *Side) Fetched() (held, total int, fetching string) {
	if p.loader == nil {
		return 0, 0, ""
	}
	progress := p.loader.Progress()
	return progress.ChunksHeld, progress.ChunksTotal, progress.FetchingRoot
}

// ContentURL returns the URL at which the engine reads the weights with a root digest.
func (p *Side) ContentURL(root string) string { return p.contentURL + root }

// Guard returns the admission of the upstream.
func (p *Side) Guard() *guard.Guard { return p.guard }

// RulesRevision returns the revision of the rules in force here.
func (p *Side) RulesRevision() uint64 { return p.keeper.Current().RulesRevision }

// Admitted returns the requests that the upstream was given so far.
func (p *Side) Admitted() int { return p.guard.Admitted() }

// BytesSent returns the bytes of chunks sent to other processes.
func (p *Side) BytesSent() int64 { return p.chunks.BytesSent() }
