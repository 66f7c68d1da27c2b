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
	"github.com/oriolehub/oriolehub/internal/wire/listener"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// forgetInterval is the interval at which the records of former members are removed.
	forgetInterval = 10 * time.Second
	// maxTraces is the number of most recent requests whose traces are kept.
	maxTraces      = 8192
	maxHeaderBytes = 64 << 10
	// headerFraction is the part of Requests.Buffer for the headers of requests; the rest is for bodies. A body of the
	// maximum size takes 3.4 times its size while its buffer grows, the settings require 4 times.
	headerFraction = 8
	// responseTimeout is the time within which a caller must accept 16 KiB of a response.
	responseTimeout = 30 * time.Second
	// socketBuffer is the size of the buffers that the kernel holds for the connection of a caller.
	socketBuffer = 64 << 10
	// forgetAfter is the time without a change after which the record of a member that is not alive is removed.
	forgetAfter = 10 * time.Minute
)

// Overrides replaces components of an entry process in experiments and tests. Nil fields select the default.
type Overrides struct {
	Dial   link.DialFunc
	Picker hub.Picker
	// Listen replaces net.Listen for the control listener and the caller listener.
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
	publisher  *view.Publisher
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
	listener   *listener.Listener
	requests   listener.Requests
	admin      *admin.Server
	metrics    *metrics.Set

	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

// Start starts an entry process, which runs until Stop or Kill.
func Start(s settings.Entry, j *journal.Journal, overrides Overrides) (*Entry, error) {
	if overrides.Dial == nil {
		overrides.Dial = link.Dial
	}
	if overrides.Picker == nil {
		overrides.Picker = picker.TwoChoices{}
	}
	if overrides.Listen == nil {
		overrides.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	security, err := s.LoadSecurity(j.Logger(journal.Process))
	if err != nil {
		return nil, err
	}
	overrides.Dial = security.Dial(overrides.Dial)
	p := &Entry{
		settings: s,
		journal:  j,
		security: security,

		incarnation: uint64(time.Now().UnixMilli()),

		link:      link.NewClient(overrides.Dial),
		manifests: newManifests(),
		traces:    trace.NewBuffer(maxTraces),
		metrics:   metrics.NewSet(),
	}
	headers, bodies, err := requestBudgets(int64(s.Requests.Buffer), p.metrics)
	if err != nil {
		return nil, err
	}
	p.assemble(overrides, bodies)
	if err := p.listen(overrides, headers); err != nil {
		return nil, err
	}
	p.presence.Publish()
	p.run()
	return p, nil
}

// assemble creates the components that need no listener.
func (p *Entry) assemble(overrides Overrides, bodies *listener.Budget) {
	s := &p.settings
	kv := store.New(s.Store.Url)
	var sources []hub.WeightSource
	for _, u := range s.Weights.Urls {
		sources = append(sources, source.New(u))
	}
	stateLog := p.journal.Logger(journal.State)
	p.catalog = catalog.New(p.incarnation)
	p.presence = presence.New(p.catalog, p.Member)
	p.publisher = view.NewPublisher(p.catalog, stateLog)
	var lister hub.VMLister
	if s.VmList.Url != "" {
		lister = roster.NewClient(s.VmList.Url)
	}
	p.roster = roster.New(lister, s.VmList.Interval.Std(), stateLog)
	p.table = table.NewBuilder(s.Domain, s.Region, p.publisher, p.roster)
	p.exchange = exchange.NewClient(exchange.Options{
		Self: s.Id, Catalog: p.catalog, Link: p.link, Interval: exchange.Every(s.ExchangeInterval.Std()), Seeds: s.Peers, Log: stateLog,
	})
	p.relay = relay.New(kv, p.catalog, stateLog)
	p.ledger = ledger.New(kv)
	p.registrar = pin.NewRegistrar(kv, sources)
	p.dispatcher = dispatch.New(dispatch.Options{
		Table:        p.table,
		Picker:       overrides.Picker,
		Calls:        call.NewClient(p.link),
		Traces:       p.traces,
		Log:          p.journal.Logger(journal.Routing),
		MaxBodyBytes: int64(s.Requests.MaxBody),
		Bodies:       bodies,
		QueueWait:    s.Requests.QueueWait.Std(),
		MaxQueued:    s.Requests.MaxQueued,
		Claims:       claim.NewRegistry(kv),
		Metrics:      p.metrics,
	})
}

// listen opens the listeners and starts to serve on them.
func (p *Entry) listen(overrides Overrides, headers *listener.Budget) error {
	s := &p.settings
	control, err := overrides.Listen(s.ControlListen)
	if err != nil {
		return fmt.Errorf("open control listener: %w", err)
	}
	callers, err := overrides.Listen(s.Listen)
	if err != nil {
		return fmt.Errorf("open caller listener: %w", err)
	}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return fmt.Errorf("open admin listener: %w", err)
	}
	mux := drpcmux.New()
	for _, err := range []error{
		message.DRPCRegisterPeer(mux, exchange.NewServer(p.catalog, p.Member)),
		message.DRPCRegisterWeights(mux, p.manifests),
		message.DRPCRegisterOperator(mux, &operator{entry: p}),
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
	limitedCallers, err := listener.New(callers, listener.Options{
		Name: "callers", MaxConnections: s.Requests.MaxConnections, HTTP: true, Headers: headers,
		WriteTimeout: responseTimeout, SocketBuffer: socketBuffer, Metrics: p.metrics, Log: p.journal.Logger(journal.Process),
	})
	if err != nil {
		return fmt.Errorf("limit callers: %w", err)
	}
	p.listener = limitedCallers
	p.http = &http.Server{
		Handler:           alice.New(p.requests.Count, recoverPanics(p.journal.Logger(journal.Process))).Then(p.dispatcher),
		ReadHeaderTimeout: s.Requests.HeaderTimeout.Std(),
		ReadTimeout:       s.Requests.BodyTimeout.Std(),
		IdleTimeout:       s.Requests.IdleTimeout.Std(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limitedCallers.ConnState,
		ConnContext:       limitedCallers.ConnContext,
	}
	go func() { _ = p.http.Serve(p.listener) }()
	if p.admin, err = admin.Start(adminListener, limits.AdminConnections, p.metrics, p.journal.Logger(journal.Process), p.ready); err != nil {
		return err
	}
	p.metrics.NewGauge("oriolehub_log_lines_dropped", func() float64 { return float64(p.journal.Dropped()) })
	p.metrics.NewGauge("oriolehub_rules_revision", func() float64 { return float64(p.publisher.Current().RulesRevision) })
	return nil
}

// ready returns the reason why the process is not ready for requests, or nil.
func (p *Entry) ready() error {
	switch {
	case p.leaving.Load():
		return fmt.Errorf("stopping")
	case p.publisher.Current().RulesRevision == 0:
		return fmt.Errorf("no rules are known yet")
	default:
		return nil
	}
}

// run starts the background tasks.
func (p *Entry) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.running.Go(func() { p.publisher.Run(ctx) })
	p.running.Go(func() { p.roster.Run(ctx) })
	p.running.Go(func() { p.table.Run(ctx) })
	p.running.Go(func() { p.exchange.Run(ctx) })
	p.running.Go(func() { p.relay.Run(ctx, ledger.Key, ledger.WithoutHistory) })
	p.running.Go(func() { p.relay.Run(ctx, pin.Key, nil) })
	p.running.Go(func() { p.pinVersions(ctx) })
	p.running.Go(func() { p.presence.Run(ctx) })
	p.running.Go(func() { p.forgetMembers(ctx) })
}

// forgetMembers periodically removes the records of former members until ctx is done.
func (p *Entry) forgetMembers(ctx context.Context) {
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

// Member returns the current member record of this process.
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
		RulesRevision: p.publisher.Current().RulesRevision,
	}
	if p.leaving.Load() {
		m.State = hub.StateLeaving
	}
	return m
}

// Address returns the address of the control listener.
func (p *Entry) Address() string { return p.server.Address() }

// HttpAddress returns the address of the listener for callers.
func (p *Entry) HttpAddress() string { return p.listener.Addr().String() }

// InService returns the number of upstreams of a group to which this process may send new requests.
func (p *Entry) InService(group string) int {
	g := p.table.Current().Groups[group]
	if g == nil {
		return 0
	}
	return len(g.Upstreams)
}

// View returns the rules, pins and members that this process currently uses.
func (p *Entry) View() *view.View { return p.publisher.Current() }

// Stop rejects new requests, waits until those in progress have finished or ctx is done, and ends the process.
func (p *Entry) Stop(ctx context.Context) {
	p.leaving.Store(true)
	p.presence.Publish()
	p.dispatcher.StopAccepting()
	_ = p.listener.Close()
	_ = p.listener.Drain(ctx, p.http, &p.requests)
	p.Kill()
}

// Kill ends the process at once and interrupts the requests in progress, as a crash does.
func (p *Entry) Kill() {
	p.cancel()
	_ = p.http.Close()
	p.server.Close()
	p.admin.Close(context.Background())
	_ = p.link.Close()
	p.running.Wait()
}
