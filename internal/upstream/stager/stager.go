package stager

import (
	"context"
	"errors"
	"slices"
	"strconv"
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
	// lookInterval is the time between two looks at the engine.
	lookInterval = 60 * time.Millisecond
	// orderGrace is the time after an accepted order in which the engine may not report it yet.
	orderGrace = 400 * time.Millisecond
	// loadTime is the part of the switch bound that is left for the last engine's load.
	loadTime = 0.12
	// lastChance is the part of the switch bound after which a version is loaded although a newer one is named
	// but not held yet.
	lastChance = 0.6
	// fetchTime is the part of the switch bound that a fetch usually takes.
	fetchTime = 0.45
	// nearlyFetched is the part of a version's chunks from which its fetch goes on beside that of a newer one:
	// the newer one may take long, if the origin fails meanwhile.
	nearlyFetched = 0.5
)

// Options are what a stager works with.
type Options struct {
	// Self is the control address of this process, Region its region.
	Self      string
	Region    string
	Service   string
	Engine    hub.LocalUpstream
	Directory *directory.Directory
	Catalog   *catalog.Catalog
	Link      *link.Client
	Cache     *replica.Cache
	// Pacer is the receiving direction of the VM's link.
	Pacer *pace.Pacer
	// NewSource opens the origin of a model's weights.
	NewSource func(o *hub.Origin, e *hub.EngineModel) hub.WeightSource
	// SwitchBound is the time within which a named version replaces older ones.
	SwitchBound func() time.Duration
	// Reported is given each report of the engine.
	Reported func(hub.UpstreamReport)
	Log      *log.Logger
}

// Stager keeps the engine at the named version.
type Stager struct {
	options Options
	machine *fsm.FSM

	report atomic.Pointer[hub.UpstreamReport]

	mu      sync.Mutex
	fetches map[uint64]*fetch
	// origin reads the weights of modelOf from originOf.
	origin   hub.WeightSource
	originOf hub.Origin
	modelOf  hub.EngineModel

	orderedAt time.Time
	down      bool
}

// New returns a stager.
func New(o Options) *Stager {
	return &Stager{options: o, fetches: map[uint64]*fetch{}, machine: fsm.NewFSM(StateIdle, transitions, nil)}
}

// Serving returns the version that the engine answers from, and whether the engine has reported at all.
func (s *Stager) Serving() (uint64, bool) {
	r := s.report.Load()
	if r == nil {
		return 0, false
	}
	return r.Held, true
}

// Progress returns the number of chunks of a version that are in memory and their total, 0 while neither is known.
func (s *Stager) Progress(version uint64) (held, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fetches[version]
	if f == nil || f.replica == nil {
		return 0, 0
	}
	return f.replica.Held()
}

// Run follows the named version until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		s.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look takes one report of the engine and does what follows from it.
func (s *Stager) look(ctx context.Context) {
	report, err := s.options.Engine.Report(ctx)
	if err != nil {
		s.engineDown(ctx, err)
		return
	}
	if s.down {
		s.down = false
		s.options.Log.Info().Int64("Born", report.Born).Uint64("Held", report.Held).Msg("engine answers")
	}
	if old := s.report.Swap(&report); old != nil && old.Born != report.Born {
		s.options.Log.Warn().Int64("Born", report.Born).Int64("Before", old.Born).Uint64("Held", report.Held).Msg("engine has started again")
		s.fire(EventReset)
		s.orderedAt = time.Time{}
	}
	if f := s.newest(0); f != nil {
		report.Fetched = f.version
	}
	s.options.Reported(report)
	service := s.options.Directory.Current().Service(s.options.Service)
	if service == nil || service.Engine == nil {
		return
	}
	s.pursue(ctx, service, report)
}

func (s *Stager) engineDown(ctx context.Context, err error) {
	if ctx.Err() != nil || s.down {
		return
	}
	s.down = true
	s.options.Log.Warn().Err(err).Msg("engine does not answer")
}

// pursue brings the engine closer to the target.
func (s *Stager) pursue(ctx context.Context, service *directory.Service, report hub.UpstreamReport) {
	held := report.Held
	if !whole(service, report) {
		held = 0
	}
	s.want(ctx, service, held)
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
	best := s.newest(held)
	if best == nil {
		return
	}
	s.fire(EventHeld)
	if report.Busy || time.Since(s.orderedAt) < orderGrace {
		return
	}
	if s.machine.Current() == StateLoading {
		s.fire(EventFailed)
	}
	if held == 0 || s.turn(service.Target, held, best) {
		s.order(ctx, service, best, report)
	}
}

// whole reports whether every layer is held.
func whole(service *directory.Service, r hub.UpstreamReport) bool {
	return r.Layers < 0 || r.Layers >= service.Engine.Layers
}

// turn reports whether this engine may take what was fetched. Engines go one after the other, evenly over the
// time that the switch bound leaves, so that most of them serve meanwhile.
func (s *Stager) turn(target directory.Target, held uint64, best *fetch) bool {
	oldest, ok := target.After(held)
	if !ok {
		return true
	}
	bound := s.options.SwitchBound()
	begin := firstTurn(target, oldest, best, bound)
	rank, total := s.place("turn/" + strconv.FormatUint(best.version, 10))
	span := max(0, oldest.Since.Add(bound-part(bound, loadTime)).Sub(begin))
	return time.Since(begin) >= span*time.Duration(rank)/time.Duration(max(1, total))
}

// firstTurn returns when the first engine may take what was fetched. Where a newer version was named so soon that it
// will be fetched in time, that is the last moment: engines then skip the older one. Else they do not wait for it, for
// the loads that are left would crowd into what is left of the time.
func firstTurn(target directory.Target, oldest directory.Named, best *fetch, bound time.Duration) time.Time {
	newer, ok := target.After(best.version)
	lastMoment := oldest.Since.Add(part(bound, lastChance))
	if ok && newer.Since.Add(part(bound, fetchTime)).Before(lastMoment) {
		return latest(best.heldAt, lastMoment)
	}
	return best.heldAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func part(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// order stages the chunks anew, for staged ones may rot, and orders the load.
func (s *Stager) order(ctx context.Context, service *directory.Service, f *fetch, report hub.UpstreamReport) {
	model := service.Engine.Model
	began := time.Now()
	for i := range f.replica.Manifest.Chunks {
		chunk, err := f.replica.Chunk(i)
		if err == nil {
			err = s.options.Engine.Stage(ctx, model, i, chunk)
		}
		if err != nil {
			s.options.Log.Warn().Int("Chunk", i).Err(err).Msg("chunk not staged")
			return
		}
	}
	s.orderedAt = time.Now()
	s.fire(EventOrder)
	err := s.options.Engine.Load(ctx, hub.LoadOrder{Model: model, Version: f.version, Orders: report.Orders, AbortRunning: s.resumable()})
	line := s.options.Log.Info()
	if err != nil {
		line = s.options.Log.Warn().Err(err)
	}
	line.Str("Model", model).Uint64("Version", f.version).Uint64("Before", report.Held).Int64("Born", report.Born).
		Uint64("Orders", report.Orders).Dur("Staging", s.orderedAt.Sub(began)).Dur("SinceHeld", time.Since(f.heldAt)).Msg("load ordered")
	if errors.Is(err, hub.ErrConflict) {
		s.orderedAt = time.Time{}
		s.fire(EventFailed)
	}
}

// resumable reports whether every stream to the service may go on at another upstream.
func (s *Stager) resumable() bool {
	c := s.options.Directory.Current().Configuration
	for i := range c.Routes {
		r := &c.Routes[i]
		to := slices.ContainsFunc(r.Targets, func(t hub.Target) bool { return t.Service == s.options.Service })
		if to && !r.Retryable() {
			return false
		}
	}
	return true
}

// fire moves the state machine; an event that does not fit the state changes nothing.
func (s *Stager) fire(event string) {
	before := s.machine.Current()
	if s.machine.Can(event) && s.machine.Event(context.Background(), event) == nil {
		s.options.Log.Info().Str("From", before).Str("To", s.machine.Current()).Msg("stager moved")
	}
}
