package stager

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

const (
	// pollInterval is the interval at which the engine is polled. If it holds the target version, the interval is
	// longer in a large service, up to maxPollInterval, and while its reports do not change, up to idlePollInterval.
	pollInterval     = 60 * time.Millisecond
	maxPollInterval  = 180 * time.Millisecond
	idlePollInterval = 180 * time.Millisecond
	// fullRateUpstreams is the number of upstreams of a service up to which pollInterval applies.
	fullRateUpstreams = 64
	// orderGrace is the time after a load order during which the reports of the engine may not show it yet.
	orderGrace = 400 * time.Millisecond
	// maxStagingTime is the maximum time from staging the first chunk to the load order. It is short because staged chunks
	// may become corrupt in the meantime.
	maxStagingTime = 2 * time.Second
	// keepFetchPart is the part of the chunks of a version from which on its fetch continues alongside that of a newer
	// version, because the newer one may take long if the origin fails in the meantime.
	keepFetchPart = 0.25
)

// Options configure a Stager.
type Options struct {
	// Self is the control address of this process, Region its region, Service the service of its engine.
	Self      string
	Region    string
	Service   string
	Engine    hub.LocalUpstream
	Directory *directory.Directory
	Catalog   *catalog.Catalog
	Link      *link.Client
	Cache     *replica.Cache
	// Pacer limits the receiving rate of the VM's network link.
	Pacer *pace.Pacer
	// NewSource returns a client of the origin of a model's weights.
	NewSource func(o *hub.Origin, e *hub.EngineModel) hub.WeightSource
	// SwitchBound returns the time within which a new target version must have replaced older ones at all upstreams.
	SwitchBound func() time.Duration
	// OnReport is called with each report of the engine.
	OnReport func(hub.UpstreamReport)
	Log      *log.Logger
}

// Stager keeps the engine at the target version.
type Stager struct {
	options Options
	machine *fsm.FSM

	// report is the last report of the engine, nil before the first one.
	report atomic.Pointer[hub.UpstreamReport]

	mu sync.Mutex
	// fetches holds the transfers and the held versions by version.
	fetches map[uint64]*fetch
	// origin is the client that NewSource returned for originConfig and originModel.
	origin       hub.WeightSource
	originConfig hub.Origin
	originModel  hub.EngineModel

	// orderedAt is the time of the last load order, zero if none is pending.
	orderedAt time.Time
	// held is the version that the engine held completely at the last poll.
	held uint64
	// lastReport is the last report, unchanged the number of polls since it changed.
	lastReport hub.UpstreamReport
	unchanged  int
	// unreachable is true while the engine does not respond to report requests.
	unreachable bool
}

// New returns a stager in StateIdle.
func New(o Options) *Stager {
	return &Stager{options: o, fetches: map[uint64]*fetch{}, machine: fsm.NewFSM(StateIdle, transitions, nil)}
}

// Serving returns the version that the engine holds, and whether the engine has reported at all.
func (s *Stager) Serving() (uint64, bool) {
	r := s.report.Load()
	if r == nil {
		return 0, false
	}
	return r.Held, true
}

// Progress returns the number of chunks of a version that are in memory and their total, both 0 while the manifest is
// unknown.
func (s *Stager) Progress(version uint64) (held, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fetches[version]
	if f == nil || f.replica == nil {
		return 0, 0
	}
	return f.replica.Held()
}

// Run keeps the engine at the target version until ctx is done.
func (s *Stager) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		started := time.Now()
		s.poll(ctx)
		timer.Reset(s.nextPoll() - time.Since(started))
	}
}

// nextPoll returns the time from the last poll to the next one.
func (s *Stager) nextPoll() time.Duration {
	service := s.options.Directory.Current().Service(s.options.Service)
	if service == nil || s.machine.Current() != StateServing {
		return pollInterval
	}
	d := pollInterval * time.Duration(max(fullRateUpstreams, len(service.Upstreams))) / fullRateUpstreams
	d = min(d, maxPollInterval)
	return max(d, min(idlePollInterval, pollInterval*time.Duration(s.unchanged)))
}

// poll reads one report of the engine and takes the next step towards the target.
func (s *Stager) poll(ctx context.Context) {
	report, err := s.options.Engine.Report(ctx)
	if err != nil {
		s.engineUnreachable(ctx, err)
		return
	}
	if s.unreachable {
		s.unreachable = false
		s.options.Log.Info().Int64("Born", report.Born).Uint64("Held", report.Held).Msg("engine answers")
	}
	service := s.options.Directory.Current().Service(s.options.Service)
	s.complete(&report, service)
	old := s.report.Swap(&report)
	s.logRateLimit(old, &report)
	if old != nil && old.Born != report.Born {
		s.options.Log.Warn().Int64("Born", report.Born).Int64("Before", old.Born).Uint64("Held", report.Held).Msg("engine restarted")
		s.fire(EventReset)
		s.orderedAt = time.Time{}
	}
	if service == nil || service.Engine == nil {
		s.tell(report)
		return
	}
	told := report
	told.Busy = report.Busy || s.loadsSoon(service, report.Held)
	told.LoadIn = s.loadIn(service, report.Held)
	s.tell(told)
	s.logHeld(service, &report)
	s.reconcile(ctx, service, report)
}

// complete adds what this process knows to a report of the engine, which holds no version if it lacks layers. service may be nil.
func (s *Stager) complete(report *hub.UpstreamReport, service *directory.Service) {
	if f := s.newestComplete(0); f != nil {
		report.Fetched = f.version
	}
	if service != nil && service.Engine != nil && !allLayersLoaded(service, *report) {
		report.Held = 0
	}
}

// tell passes a report on and counts the polls since it last changed.
func (s *Stager) tell(report hub.UpstreamReport) {
	s.options.OnReport(report)
	if report != s.lastReport {
		s.unchanged = 0
	}
	s.unchanged++
	s.lastReport = report
}

// logRateLimit logs that the rate limit which the engine names has changed since the report old, nil if there was none.
func (s *Stager) logRateLimit(old, report *hub.UpstreamReport) {
	before := hub.RateLimit{}
	if old != nil {
		before = old.RateLimit
	}
	switch {
	case report.RateLimit == before:
	case report.RateLimit.Named:
		s.options.Log.Info().Float64("RateLimit", report.RateLimit.PerSecond).Msg("engine names a rate limit")
	default:
		s.options.Log.Info().Msg("engine names no rate limit any more")
	}
}

// engineUnreachable logs the first of several consecutive failed report requests.
func (s *Stager) engineUnreachable(ctx context.Context, err error) {
	if ctx.Err() != nil || s.unreachable {
		return
	}
	s.unreachable = true
	s.options.Log.Warn().Err(err).Msg("engine does not answer")
}

// reconcile takes the next step towards the target: it starts the fetch, or orders the load of the newest version that
// is complete. An engine that leaves serves no new requests and keeps what it has.
func (s *Stager) reconcile(ctx context.Context, service *directory.Service, report hub.UpstreamReport) {
	if s.leaves(service, report) {
		s.cancelFetches()
		return
	}
	held := report.Held
	s.startFetch(ctx, service, held)
	if held >= service.Target.Version {
		s.fire(EventServe)
		return
	}
	if s.machine.Current() == StateServing {
		s.fire(EventReset)
	}
	if s.machine.Current() == StateIdle {
		s.fire(EventFetch)
	}
	if best := s.newestLoadable(service, held); best == nil || !s.load(ctx, service, best, report) {
		s.withdrawOlder(ctx, service, report)
	}
}

// load orders the load of the fetched version once it is the turn of this engine. It returns false if it orders nothing.
func (s *Stager) load(ctx context.Context, service *directory.Service, best *fetch, report hub.UpstreamReport) bool {
	s.fire(EventHeld)
	if report.Busy || time.Since(s.orderedAt) < orderGrace {
		return false
	}
	if s.machine.Current() == StateLoading {
		s.fire(EventFailed)
	}
	if time.Now().Before(s.turn(service.Target, report.Held, best).load) {
		return false
	}
	return s.orderLoad(ctx, service, best, report.Held, report)
}

// leaves reports whether the engine leaves, by its own report or by the list of upstreams.
func (s *Stager) leaves(service *directory.Service, report hub.UpstreamReport) bool {
	if report.Leaving {
		return true
	}
	_, port, err := net.SplitHostPort(s.options.Self)
	return err == nil && slices.ContainsFunc(service.Upstreams, func(u *directory.Upstream) bool {
		return u.Leaving && u.Born == report.Born && u.SideAddress(port) == s.options.Self
	})
}

// allLayersLoaded reports whether the engine holds all layers; an engine that does not list its layers counts as such.
func allLayersLoaded(service *directory.Service, r hub.UpstreamReport) bool {
	return r.Layers < 0 || r.Layers >= service.Engine.Layers
}

// orderLoad stages all chunks again, because staged ones may have become corrupt, and orders the load. It orders nothing if
// that takes longer than maxStagingTime, as when the process or the VM is paused meanwhile: the next poll begins anew. It returns
// false if it orders nothing.
func (s *Stager) orderLoad(ctx context.Context, service *directory.Service, f *fetch, held uint64, report hub.UpstreamReport) bool {
	model := service.Engine.Model
	staging := startStopwatch()
	for i := range f.replica.Manifest.Chunks {
		chunk, err := f.replica.Chunk(i)
		if err == nil {
			err = s.options.Engine.Stage(ctx, model, i, chunk)
		}
		if err != nil {
			s.options.Log.Warn().Int("Chunk", i).Err(err).Msg("chunk could not be staged; load not ordered")
			return false
		}
	}
	if !s.mayStillLoad(f, held) {
		s.options.Log.Info().Uint64("Version", f.version).Dur("Staging", staging.elapsed()).Msg("target changed while chunks were staged; load not ordered")
		return false
	}
	took := staging.elapsed()
	if took > maxStagingTime {
		s.options.Log.Warn().Uint64("Version", f.version).Dur("Staging", took).Msg("staging took too long; load not ordered, chunks are staged again")
		return false
	}
	s.orderedAt = time.Now()
	due, hasDue := s.due(service, held)
	s.fire(EventOrder)
	order := hub.LoadOrder{Model: model, Version: f.version, Orders: report.Orders, AbortRunning: s.abortsRunning()}
	err := s.options.Engine.Load(ctx, order)
	line := s.options.Log.Info()
	if err != nil {
		line = s.options.Log.Warn().Err(err)
	}
	if hasDue {
		line = line.Dur("Due", due)
	}
	line.Str("Model", model).Uint64("Version", f.version).Uint64("Before", report.Held).Int64("Born", report.Born).
		Uint64("Orders", report.Orders).Int("Running", report.Running).Int("Waiting", report.Waiting).Bool("AbortRunning", order.AbortRunning).Dur("Staging", took).Dur("SinceStaging", staging.elapsed()).Dur("SinceHeld", time.Since(f.heldAt)).Msg("load ordered")
	if errors.Is(err, hub.ErrConflict) {
		s.orderedAt = time.Time{}
		s.fire(EventFailed)
	}
	return true
}

// abortsRunning reports whether a load aborts the requests in progress instead of waiting for them: if some of them may last longer
// than SwitchBound, and all of them may be retried or resumed at another upstream.
func (s *Stager) abortsRunning() bool {
	c := s.options.Directory.Current().Configuration
	longest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if !slices.ContainsFunc(r.Targets, func(t hub.Target) bool { return t.Service == s.options.Service }) {
			continue
		}
		if !r.Retryable() {
			return false
		}
		longest = max(longest, r.Timeout)
	}
	return longest > s.options.SwitchBound()
}

// fire applies an event to the state machine; an event without a transition from the current state has no effect.
func (s *Stager) fire(event string) {
	before := s.machine.Current()
	if s.machine.Can(event) && s.machine.Event(context.Background(), event) == nil {
		s.options.Log.Info().Str("From", before).Str("To", s.machine.Current()).Msg("stager changed state")
	}
}
