package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/looplab/fsm"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/view"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

const (
	// pollInterval is the interval at which the engine's status and the member records are checked.
	pollInterval = 200 * time.Millisecond
	// retryDelay is the delay before a retry after loading a version has failed.
	retryDelay = time.Second
	// loadTimeout is the maximum duration of a load; after that the load is ordered again.
	loadTimeout = 10 * time.Minute
	// maxStatusFailures is the number of consecutive failed status requests after which the engine is considered down.
	maxStatusFailures = 3
)

// Fetcher fetches weights into memory.
type Fetcher interface {
	// Fetch returns the complete and sealed replica of a pin. It calls started with the replica before that is complete.
	// The replica with the root digest keep is not evicted to make room.
	Fetch(ctx context.Context, pin hub.Pin, keep string, started func(*replica.Replica)) (*replica.Replica, error)
}

// Options configure a Loader.
type Options struct {
	// Self is the member ID of this process, Group and Domain are the group and failure domain of its upstream.
	Self      string
	Group     string
	Domain    string
	Engine    hub.Engine
	Guard     *guard.Guard
	Publisher *view.Publisher
	Fetch     Fetcher
	// SourceURL returns the URL from which the engine reads the weights with the given root digest.
	SourceURL func(root string) string
	Log       *log.Logger
}

// Progress is the current state of a Loader, as published in the member record.
type Progress struct {
	// State is one of the State constants.
	State          string
	ServingVersion string
	ServingRoot    string
	// HeldRoot is the root digest of the weights in memory if they are complete, FetchingRoot if they are not.
	HeldRoot     string
	FetchingRoot string
	ChunksHeld   int
	ChunksTotal  int
	// Note explains to operators why the target is not served yet.
	Note string
}

// Loader keeps one upstream's engine at the version that is pinned for its group.
type Loader struct {
	options Options

	mu       sync.Mutex
	machine  *fsm.FSM
	progress Progress
	replica  *replica.Replica
	// lost receives a value when the engine no longer holds the version that it was serving.
	lost chan struct{}
}

// New returns a loader in StateIdle.
func New(o Options) *Loader {
	return &Loader{options: o, machine: fsm.NewFSM(StateIdle, transitions, nil), lost: make(chan struct{}, 1)}
}

// Progress returns the current state of the loader.
func (l *Loader) Progress() Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.progress
	p.State = l.machine.Current()
	if l.replica != nil {
		p.ChunksHeld, p.ChunksTotal = l.replica.Held()
		if l.replica.Sealed() {
			p.HeldRoot = l.replica.Manifest.Root
		} else {
			p.FetchingRoot = l.replica.Manifest.Root
		}
	}
	return p
}

// ServingRoot returns the root digest of the weights that the engine serves, empty while it must not serve.
func (l *Loader) ServingRoot() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.ServingRoot
}

// Run keeps the engine at the pinned version until ctx is done.
func (l *Loader) Run(ctx context.Context) {
	go l.watchEngine(ctx)
	for ctx.Err() == nil {
		v := l.options.Publisher.Current()
		target, ok := v.Target(l.options.Group)
		if !ok {
			l.setNote("no version is pinned for the group")
			l.waitViewChange(ctx)
			continue
		}
		targetCtx, stop := l.targetContext(ctx, target)
		err := l.serveTarget(targetCtx, target)
		superseded := targetCtx.Err() != nil
		stop()
		if err != nil && !superseded {
			l.setNote(err.Error())
			l.options.Log.Error().Str("Version", target.Version).Err(err).Msg("version is not served; retrying")
			_ = hub.Sleep(ctx, retryDelay)
		}
	}
}

// targetContext returns a context that is cancelled when the target of the group changes to another root digest.
func (l *Loader) targetContext(ctx context.Context, target hub.Pin) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			changed := l.options.Publisher.Changed()
			now, ok := l.options.Publisher.Current().Target(l.options.Group)
			if ok && now.Root != target.Root {
				cancel()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}

// serveTarget loads the target and serves it until ctx is done. It returns errLost if the engine loses the version,
// or the error of a failed step.
func (l *Loader) serveTarget(ctx context.Context, target hub.Pin) error {
	defer l.fire(EventRetire)
	if l.alreadyServes(ctx, target) {
		l.fire(EventServe)
		l.startServing(target)
		return l.waitServing(ctx)
	}
	l.fire(EventFetch)
	if err := l.fetch(ctx, target); err != nil {
		return err
	}
	l.fire(EventHeld)
	if err := l.waitTurn(ctx, target); err != nil {
		return err
	}
	l.fire(EventDrain)
	if err := l.drain(ctx); err != nil {
		l.reopen(ctx)
		return err
	}
	l.fire(EventOrder)
	if err := l.order(ctx, target); err != nil {
		return err
	}
	l.fire(EventServe)
	l.startServing(target)
	return l.waitServing(ctx)
}

// alreadyServes reports whether the engine holds the target already, e.g. since before this process started.
func (l *Loader) alreadyServes(ctx context.Context, target hub.Pin) bool {
	status, err := l.options.Engine.Status(ctx)
	return err == nil && !status.Loading && status.Digest == target.Root
}

func (l *Loader) fetch(ctx context.Context, target hub.Pin) error {
	l.setNote("")
	started := time.Now()
	r, err := l.options.Fetch.Fetch(ctx, target, l.ServingRoot(), l.setReplica)
	if err != nil {
		return fmt.Errorf("fetch %s: %w", target.Version, err)
	}
	l.setReplica(r)
	l.options.Log.Info().Str("Version", target.Version).Str("Root", target.Root).
		Dur("Took", time.Since(started)).Msg("weights fetched")
	return nil
}

// waitTurn blocks while the rollout is paused or while a load would leave fewer upstreams in service than the floor.
func (l *Loader) waitTurn(ctx context.Context, target hub.Pin) error {
	for {
		v := l.options.Publisher.Current()
		g := v.Rules.FindGroup(l.options.Group)
		switch {
		case g == nil:
			l.setNote("no rule names the group")
		case g.Paused:
			l.setNote("the rollout is paused by a rule")
		default:
			t := turn{self: l.options.Self, group: l.options.Group, domain: l.options.Domain, root: target.Root, floorPercent: g.FloorPercent}
			granted, ahead := t.granted(v.Members)
			if granted || l.ServingRoot() == "" {
				l.options.Log.Info().Str("Version", target.Version).Int("FloorPercent", g.FloorPercent).Msg("load may begin; draining the upstream")
				return nil
			}
			l.setNote(fmt.Sprintf("waits for %d others to load, so that the floor of %d%% holds", ahead, g.FloorPercent))
		}
		l.waitViewChangeOrPoll(ctx)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// drain blocks new requests and waits until no request is in progress.
func (l *Loader) drain(ctx context.Context) error {
	l.setNote("")
	l.options.Guard.Block(guard.ReasonLoading)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.options.Guard.Idle():
		return nil
	}
}

// reopen unblocks requests if the upstream still serves its previous version.
func (l *Loader) reopen(ctx context.Context) {
	if l.ServingRoot() != "" {
		l.options.Guard.Unblock(guard.ReasonLoading)
	}
}

// order sends the load order and waits until the engine holds the target. It returns hub.ErrFenced if the target has
// changed and hub.ErrCorrupt if the engine reports another digest after the load.
func (l *Loader) order(ctx context.Context, target hub.Pin) error {
	l.setServing(hub.Pin{})
	v := l.options.Publisher.Current()
	if now, ok := v.Target(l.options.Group); !ok || now.Root != target.Root {
		return fmt.Errorf("load %s: %w", target.Version, hub.ErrFenced)
	}
	order := hub.EngineOrder{
		Version: target.Version,
		Digest:  target.Root,
		Source:  l.options.SourceURL(target.Root),
		Fence:   v.RulesRevision,
	}
	l.options.Log.Info().Str("Version", order.Version).Str("Root", order.Digest).Uint64("Fence", order.Fence).Msg("load ordered")
	if err := l.options.Engine.Load(ctx, order); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for {
		_ = hub.Sleep(ctx, pollInterval)
		status, err := l.options.Engine.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil || status.Loading:
			continue
		case status.Digest != target.Root:
			return fmt.Errorf("engine holds %q after the load of %s: %w", status.Digest, target.Root, hub.ErrCorrupt)
		}
		return nil
	}
}

// startServing records the target as served and unblocks requests, with slow start.
func (l *Loader) startServing(target hub.Pin) {
	l.setNote("")
	l.setServing(target)
	l.options.Guard.RestartSlowStart()
	l.options.Guard.Unblock(guard.ReasonNotLoaded)
	l.options.Guard.Unblock(guard.ReasonLoading)
	l.options.Log.Info().Str("Version", target.Version).Str("Root", target.Root).Msg("version loaded; accepting requests")
}

// waitServing returns nil when ctx is done, or errLost when the engine has lost the version.
func (l *Loader) waitServing(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-l.lost:
		return errLost
	}
}

// fire applies an event to the state machine and logs an event without a transition, except in StateIdle.
func (l *Loader) fire(event string) {
	if err := l.machine.Event(context.Background(), event); err != nil && l.machine.Current() != StateIdle {
		l.options.Log.Error().Str("Event", event).Err(err).Msg("event has no transition from the current state; ignored")
	}
}

// setNote sets the note for operators; an empty text clears it.
func (l *Loader) setNote(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.Note = text
}

func (l *Loader) setReplica(r *replica.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replica = r
}

// setServing records the version that the engine serves; the zero Pin stands for none.
func (l *Loader) setServing(p hub.Pin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.ServingVersion = p.Version
	l.progress.ServingRoot = p.Root
}

func (l *Loader) waitViewChange(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.options.Publisher.Changed():
	}
}

func (l *Loader) waitViewChangeOrPoll(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.options.Publisher.Changed():
	case <-timer.C:
	}
}
