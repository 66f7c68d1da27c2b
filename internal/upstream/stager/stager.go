package stager

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/oriolehub/oriolehub/internal/weights/topology"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

const (
	// lookInterval is the time between two looks at the engine.
	lookInterval = 60 * time.Millisecond
	// orderGrace is the time after an accepted order in which the engine may not report it yet.
	orderGrace = 400 * time.Millisecond
	// waves is the number of groups that take a new version one after the other.
	waves = 3
	// firstWave and waveStep are parts of the switch bound: when the first wave may load, and the pause to the next.
	firstWave = 0.45
	waveStep  = 0.12
	// stagedProbe is the number of staged chunks of another version after which the rest is not looked at.
	stagedProbe = 3
)

// Options are what a stager works with.
type Options struct {
	Self      string
	Service   string
	Engine    hub.LocalUpstream
	Directory *directory.Directory
	Catalog   *catalog.Catalog
	Link      *link.Client
	Shelf     *replica.Shelf
	// Pacer is the receiving direction of the VM's link.
	Pacer *pace.Pacer
	// NewSource opens the origin of a model's weights.
	NewSource func(o *hub.Origin, e *hub.EngineModel) hub.WeightSource
	// SwitchBound is the time within which a named version replaces older ones.
	SwitchBound time.Duration
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
	replica *replica.Replica
	// wanted is the version being fetched or held, cancel ends its fetch.
	wanted uint64
	cancel context.CancelFunc

	orderedAt time.Time
	down      bool
}

// New returns a stager.
func New(o Options) *Stager {
	return &Stager{options: o, machine: fsm.NewFSM(StateIdle, transitions, nil)}
}

// Serving returns the version that the engine answers from, and whether the engine has reported at all.
func (s *Stager) Serving() (uint64, bool) {
	r := s.report.Load()
	if r == nil {
		return 0, false
	}
	return r.Held, true
}

// State returns the state of the stager.
func (s *Stager) State() string { return s.machine.Current() }

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
	target := service.Target
	s.want(ctx, service)
	if report.Held >= target.Version && whole(service, report) {
		s.fire(EventServe)
		return
	}
	if s.machine.Current() == StateServing {
		s.fire(EventReset)
	}
	if s.machine.Current() == StateIdle {
		s.fire(EventFetch)
	}
	held := s.held(target.Version)
	if held == nil {
		return
	}
	s.fire(EventHeld)
	if report.Busy || time.Since(s.orderedAt) < orderGrace {
		return
	}
	if s.machine.Current() == StateLoading {
		s.fire(EventFailed)
	}
	if report.Held != 0 && !s.turn(target) {
		return
	}
	s.order(ctx, service, held, report)
}

// whole reports whether every layer is held.
func whole(service *directory.Service, r hub.UpstreamReport) bool {
	return r.Layers < 0 || r.Layers >= service.Engine.Layers
}

// turn reports whether this engine may leave service for the load: engines go in waves, so that enough of them
// serve meanwhile, and the last wave leaves time for the requests in progress.
func (s *Stager) turn(target directory.Target) bool {
	rank, total := s.place("turn/" + strconv.FormatUint(target.Version, 10))
	wave := rank * waves / max(1, total)
	after := time.Duration((firstWave + waveStep*float64(wave)) * float64(s.options.SwitchBound))
	return time.Since(target.Since) >= after
}

// order stages the chunks anew, for staged ones may rot, and orders the load.
func (s *Stager) order(ctx context.Context, service *directory.Service, r *replica.Replica, report hub.UpstreamReport) {
	model := service.Engine.Model
	began := time.Now()
	for i := range r.Manifest.Chunks {
		chunk, err := r.Chunk(i)
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
	err := s.options.Engine.Load(ctx, hub.LoadOrder{Model: model, Version: service.Target.Version, Orders: report.Orders})
	line := s.options.Log.Info()
	if err != nil {
		line = s.options.Log.Warn().Err(err)
	}
	line.Str("Model", model).Uint64("Version", service.Target.Version).Uint64("Before", report.Held).Int64("Born", report.Born).
		Uint64("Orders", report.Orders).Dur("Staging", s.orderedAt.Sub(began)).Dur("SinceNamed", time.Since(service.Target.Since)).Msg("load ordered")
	if errors.Is(err, hub.ErrConflict) {
		s.orderedAt = time.Time{}
		s.fire(EventFailed)
	}
}

// want begins the fetch of the target unless it is under way.
func (s *Stager) want(ctx context.Context, service *directory.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := service.Target.Version
	if s.wanted == version || s.options.Directory.Current().Origin() == nil {
		return
	}
	if s.cancel != nil {
		s.cancel()
	}
	s.fire(EventReset)
	s.wanted, s.replica = version, nil
	ctx, s.cancel = context.WithCancel(ctx)
	go s.fetch(ctx, service)
}

// held returns the checked content of a version, or nil while it is incomplete.
func (s *Stager) held(version uint64) *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil || s.wanted != version || !s.replica.Sealed() {
		return nil
	}
	return s.replica
}

// fetch brings the content of the service's target into memory.
func (s *Stager) fetch(ctx context.Context, service *directory.Service) {
	version := service.Target.Version
	began := time.Now()
	err := s.fetchOnce(ctx, service)
	switch {
	case ctx.Err() != nil:
		s.options.Log.Info().Uint64("Version", version).Msg("fetch given up for a newer version")
	case err != nil:
		s.options.Log.Error().Uint64("Version", version).Err(err).Msg("fetch failed")
		s.mu.Lock()
		if s.wanted == version {
			s.wanted = 0
		}
		s.mu.Unlock()
	default:
		s.options.Log.Info().Uint64("Version", version).Dur("Took", time.Since(began)).Dur("SinceNamed", time.Since(service.Target.Since)).Msg("weights held and checked")
	}
}

func (s *Stager) fetchOnce(ctx context.Context, service *directory.Service) error {
	model, version := service.Engine.Model, service.Target.Version
	encoded, m, err := s.manifest(ctx, model, version)
	if err != nil {
		return err
	}
	if len(m.Chunks) != service.Engine.Chunks {
		return fmt.Errorf("manifest has %d chunks, the desired state says %d: %w", len(m.Chunks), service.Engine.Chunks, hub.ErrCorrupt)
	}
	r, err := s.options.Shelf.Open(m, encoded, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.replica = r
	s.mu.Unlock()
	s.takeStaged(ctx, model, r)
	fetcher := transfer.NewFetcher(transfer.Options{
		Self:                 s.options.Self,
		Link:                 s.options.Link,
		Shelf:                s.options.Shelf,
		Pacer:                s.options.Pacer,
		Sources:              []hub.WeightSource{s.source()},
		Topology:             topology.Swarm{},
		OriginBytesPerSecond: s.options.Directory.Current().Origin().BytesPerSecond,
		Participants:         s.participants,
		Log:                  s.options.Log,
	})
	pin := hub.Pin{Version: m.Version, Root: m.Root, Size: m.Size}
	return fetcher.Complete(ctx, pin, r)
}

// takeStaged takes over what is staged beside the engine and has the right digests: it outlives this process.
func (s *Stager) takeStaged(ctx context.Context, model string, r *replica.Replica) {
	taken, foreign := 0, 0
	for i := range r.Manifest.Chunks {
		data, err := s.options.Engine.Staged(ctx, model, i)
		if err == nil {
			_, err = r.Put(i, data)
		}
		switch {
		case err == nil:
			taken++
		case taken == 0 && foreign >= stagedProbe:
			return
		default:
			foreign++
		}
	}
	s.options.Log.Info().Int("Taken", taken).Int("Others", foreign).Str("Version", r.Manifest.Version).Msg("staged chunks taken over")
}

// source returns the origin of the service's weights, or nil.
func (s *Stager) source() hub.WeightSource {
	snapshot := s.options.Directory.Current()
	service, origin := snapshot.Service(s.options.Service), snapshot.Origin()
	if service == nil || service.Engine == nil || origin == nil {
		return nil
	}
	return s.options.NewSource(origin, service.Engine)
}

// fire moves the state machine; an event that does not fit the state changes nothing.
func (s *Stager) fire(event string) {
	before := s.machine.Current()
	if s.machine.Can(event) && s.machine.Event(context.Background(), event) == nil {
		s.options.Log.Info().Str("From", before).Str("To", s.machine.Current()).Msg("stager moved")
	}
}
