package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/admin"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/presence"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/route/claim"
	"github.com/oriolehub/oriolehub/internal/route/dispatch"
	"github.com/oriolehub/oriolehub/internal/route/picker"
	"github.com/oriolehub/oriolehub/internal/route/table"
	"github.com/oriolehub/oriolehub/internal/route/trace"
	"github.com/oriolehub/oriolehub/internal/rules/ledger"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/relay"
	"github.com/oriolehub/oriolehub/internal/state/roster"
	"github.com/oriolehub/oriolehub/internal/state/store"
	"github.com/oriolehub/oriolehub/internal/state/view"
	"github.com/oriolehub/oriolehub/internal/weights/pin"
	"github.com/oriolehub/oriolehub/internal/weights/source"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// forgetInterval is the time between two looks for members to forget.
	forgetInterval = 10 * time.Second
	// tracedRequests is the number of recent requests that can be explained.
	tracedRequests = 8192
	maxHeaderBytes = 64 << 10
	// forgetAfter is the age from which a silent member is forgotten.
	forgetAfter = 10 * time.Minute
)

// Extras replace parts of an entry process in experiments and tests.
type Extras struct {
	Dial   link.DialFunc
	Picker hub.Picker
	// StoreTransport and SourceTransport carry the calls to the platform.
	StoreTransport  http.RoundTripper
	SourceTransport http.RoundTripper
	// Listen opens listeners in place of net.Listen.
	Listen func(address string) (net.Listener, error)
}

// Entry is a running entry process.
type Entry struct {
	settings settings.Entry
	journal  *journal.Journal
	security *settings.Security

	incarnation uint64

	catalog    *catalog.Catalog
	presence   *presence.Presence
	keeper     *view.Publisher
	roster     *roster.Roster
	table      *table.Builder
	link       *link.Client
	exchange   *exchange.Client
	relay      *relay.Relay
	ledger     *ledger.Ledger
	registrar  *pin.Registrar
	manifests  *manifests
	dispatcher *dispatch.Dispatcher
	traces     *trace.Buffer
	server     *link.Server
	http       *http.Server
	listener   net.Listener
	admin      *admin.Server
	metrics    *metrics.Set

	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

// Start runs an entry process until Stop.
func Start(s settings.Entry, j *journal.Journal, x Extras) (*Entry, error) {
	if x.Dial == nil {
		x.Dial = link.Dial
	}
	if x.Picker == nil {
		x.Picker = picker.TwoChoices{}
	}
	if x.Listen == nil {
		x.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	security, err := s.Open(j.Logger(journal.Process))
	if err != nil {
		return nil, err
	}
	x.Dial = security.Dial(x.Dial)
	p := &Entry{
		settings: s,
		journal:  j,
		security: security,

		incarnation: uint64(time.Now().UnixMilli()),

		link:      link.NewClient(x.Dial),
		manifests: newManifests(),
		traces:    trace.NewBuffer(tracedRequests),
		metrics:   metrics.NewSet(),
	}
	p.assemble(x)
	if err := p.listen(x); err != nil {
		return nil, err
	}
	p.presence.Publish()
	p.run()
	return p, nil
}

// assemble wires the parts that don't listen.
func (p *Entry) assemble(x Extras) {
	s := &p.settings
	kv := store.New(s.Store.Url, x.StoreTransport)
	var sources []hub.WeightSource
	for _, u := range s.Weights.Urls {
		sources = append(sources, source.New(u, x.SourceTransport))
	}
	state := p.journal.Logger(journal.State)
	p.catalog = catalog.New(p.incarnation)
	p.presence = presence.New(p.catalog, p.Member)
	p.keeper = view.NewPublisher(p.catalog, state)
	var lister hub.VMLister
	if s.VmList.Url != "" {
		lister = roster.NewClient(s.VmList.Url, x.StoreTransport)
	}
	p.roster = roster.New(lister, s.VmList.Interval.Std(), state)
	p.table = table.NewBuilder(s.Domain, s.Region, p.keeper, p.roster)
	p.exchange = exchange.NewClient(exchange.Options{
		Self: s.Id, Catalog: p.catalog, Link: p.link, Interval: s.ExchangeInterval.Std(), Seeds: s.Peers, Log: state,
	})
	p.relay = relay.New(kv, p.catalog, state)
	p.ledger = ledger.New(kv)
	p.registrar = pin.NewRegistrar(kv, sources)
	p.dispatcher = dispatch.New(dispatch.Options{
		Table:        p.table,
		Picker:       x.Picker,
		Calls:        call.NewClient(p.link),
		Traces:       p.traces,
		Log:          p.journal.Logger(journal.Routing),
		MaxBodyBytes: int64(s.Requests.MaxBody),
		QueueWait:    s.Requests.QueueWait.Std(),
		MaxQueued:    s.Requests.MaxQueued,
		Claims:       claim.NewRegistry(kv),
		Metrics:      p.metrics,
	})
}

func (p *Entry) listen(x Extras) error {
	s := &p.settings
	control, err := x.Listen(s.ControlListen)
	if err != nil {
		return fmt.Errorf("control listener: %w", err)
	}
	callers, err := x.Listen(s.Listen)
	if err != nil {
		return fmt.Errorf("callers' listener: %w", err)
	}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	mux := drpcmux.New()
	for _, err := range []error{
		message.DRPCRegisterPeer(mux, exchange.NewServer(p.catalog, p.Member)),
		message.DRPCRegisterWeights(mux, p.manifests),
		message.DRPCRegisterOperator(mux, &operator{entry: p}),
	} {
		if err != nil {
			return fmt.Errorf("register services: %w", err)
		}
	}
	p.server = link.Serve(p.security.Listen(control), p.security.Handle(mux), func(err error) {
		p.journal.Logger(journal.Process).Debug().Err(err).Msg("connection ended")
	})
	p.listener = newLimitListener(callers, s.Requests.MaxConnections)
	p.http = &http.Server{
		Handler:           alice.New(recoverPanics(p.journal.Logger(journal.Process))).Then(p.dispatcher),
		ReadHeaderTimeout: s.Requests.HeaderTimeout.Std(),
		ReadTimeout:       s.Requests.BodyTimeout.Std(),
		IdleTimeout:       s.Requests.IdleTimeout.Std(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go func() { _ = p.http.Serve(p.listener) }()
	p.admin = admin.Start(adminListener, p.metrics, p.ready)
	p.metrics.NewGauge("oriolehub_log_lines_dropped", func() float64 { return float64(p.journal.Dropped()) })
	p.metrics.NewGauge("oriolehub_rules_revision", func() float64 { return float64(p.keeper.Current().RulesRevision) })
	return nil
}

// ready reports why this process must not receive requests yet, or nil.
func (p *Entry) ready() error {
	switch {
	case p.leaving.Load():
		return fmt.Errorf("stopping")
	case p.keeper.Current().RulesRevision == 0:
		return fmt.Errorf("no rules are known yet")
	default:
		return nil
	}
}

func (p *Entry) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.keeper.Run(ctx) })
	p.running.Go(func() { p.roster.Run(ctx) })
	p.running.Go(func() { p.table.Run(ctx) })
	p.running.Go(func() { p.exchange.Run(ctx) })
	p.running.Go(func() { p.relay.Run(ctx, ledger.Key, ledger.WithoutHistory) })
	p.running.Go(func() { p.relay.Run(ctx, pin.Key, nil) })
	p.running.Go(func() { p.pinVersions(ctx) })
	p.running.Go(func() { p.presence.Run(ctx) })
	p.running.Go(func() { p.forget(ctx) })
}

// forget drops the records of members that left long ago.
func (p *Entry) forget(ctx context.Context) {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.catalog.Forget(forgetAfter)
		}
	}
}

// Member returns what this process tells of itself now.
func (p *Entry) Member() hub.Member {
	m := hub.Member{
		Id:            p.settings.Id,
		Role:          hub.RoleEntry,
		Address:       p.server.Address(),
		AdminAddress:  p.admin.Address(),
		Domain:        p.settings.Domain,
		Region:        p.settings.Region,
		Incarnation:   p.incarnation,
		State:         hub.StateServing,
		RulesRevision: p.keeper.Current().RulesRevision,
	}
	if p.leaving.Load() {
		m.State = hub.StateLeaving
	}
	return m
}

// Address returns the control address.
func (p *Entry) Address() string { return p.server.Address() }

// HttpAddress returns the address for callers.
func (p *Entry) HttpAddress() string { return p.listener.Addr().String() }

// InService returns the number of upstreams of a group to which this process may send new work.
func (p *Entry) InService(group string) int {
	g := p.table.Current().Groups[group]
	if g == nil {
		return 0
	}
	return len(g.Upstreams)
}

// View returns what the process acts on.
func (p *Entry) View() *view.View { return p.keeper.Current() }

// Stop leaves: it refuses new requests, lets those in progress finish and ends.
func (p *Entry) Stop(ctx context.Context) {
	p.leaving.Store(true)
	p.presence.Publish()
	p.dispatcher.StopAccepting()
	_ = p.http.Shutdown(ctx)
	p.Kill()
}

// Kill ends at once, as a crash would.
func (p *Entry) Kill() {
	p.cancel()
	_ = p.http.Close()
	p.server.Close()
	p.admin.Close(context.Background())
	_ = p.link.Close()
	p.running.Wait()
}
