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
	// pollInterval is the time between two looks at the engine or at the members.
	pollInterval = 200 * time.Millisecond
	// retryPause is the pause after a failed step.
	retryPause = time.Second
	// orderTimeout is the longest time that an engine may take to load, after which it is ordered again.
	orderTimeout = 10 * time.Minute
	// unansweredLimit is the number of status calls in a row that fail before the engine counts as down.
	unansweredLimit = 3
)

// Fetcher brings weights into memory.
type Fetcher interface {
	// Fetch returns the sealed replica of a pin; started is told the replica before it is complete.
	Fetch(ctx context.Context, pin hub.Pin, keep string, started func(*replica.Replica)) (*replica.Replica, error)
}

// Options are what a loader works with.
type Options struct {
	Self   string
	Group  string
	Domain string
	Engine hub.Engine
	Guard  *guard.Guard
	Keeper *view.Publisher
	Fetch  Fetcher
	// SourceURL returns the URL at which the engine reads the weights with a root digest.
	SourceURL func(root string) string
	Log       *log.Logger
}

// Progress is what a loader tells of itself.
type Progress struct {
	State          string
	ServingVersion string
	ServingRoot    string
	HeldRoot       string
	FetchingRoot   string
	ChunksHeld     int
	ChunksTotal    int
	Note           string
}

// Loader serves the agreed version of one upstream.
type Loader struct {
	options Options

	mu       sync.Mutex
	machine  *fsm.FSM
	progress Progress
	replica  *replica.Replica
	lost     chan struct{}
}

// New returns a loader.
func New(o Options) *Loader {
	return &Loader{options: o, machine: fsm.NewFSM(StateIdle, transitions, nil), lost: make(chan struct{}, 1)}
}

// Progress returns what the loader tells of itself now.
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

// ServingRoot returns the root digest from which the engine answers, empty while it must not.
func (l *Loader) ServingRoot() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.ServingRoot
}

// Run follows the agreed version until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	go l.watchEngine(ctx)
	for ctx.Err() == nil {
		v := l.options.Keeper.Current()
		target, ok := v.Target(l.options.Group)
		if !ok {
			l.note("no version is pinned for the group")
			l.waitView(ctx)
			continue
		}
		targetCtx, stop := l.whileTarget(ctx, target)
		err := l.pursue(targetCtx, target)
		superseded := targetCtx.Err() != nil
		stop()
		if err != nil && !superseded {
			l.note(err.Error())
			l.options.Log.Error().Str("Version", target.Version).Err(err).Msg("version not served")
			_ = hub.Sleep(ctx, retryPause)
		}
	}
}

// whileTarget returns a context that ends when the group's target is another one.
func (l *Loader) whileTarget(ctx context.Context, target hub.Pin) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			changed := l.options.Keeper.Changed()
			now, ok := l.options.Keeper.Current().Target(l.options.Group)
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

// pursue brings the target into service and stays until it is another one or the engine has lost it.
func (l *Loader) pursue(ctx context.Context, target hub.Pin) error {
	defer l.fire(EventRetire)
	if l.alreadyServes(ctx, target) {
		l.fire(EventServe)
		l.serve(target)
		return l.hold(ctx)
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
	l.serve(target)
	return l.hold(ctx)
}

// alreadyServes reports whether the engine holds the target from before this process started.
func (l *Loader) alreadyServes(ctx context.Context, target hub.Pin) bool {
	status, err := l.options.Engine.Status(ctx)
	return err == nil && !status.Loading && status.Digest == target.Root
}

func (l *Loader) fetch(ctx context.Context, target hub.Pin) error {
	l.note("")
	started := time.Now()
	r, err := l.options.Fetch.Fetch(ctx, target, l.ServingRoot(), l.setReplica)
	if err != nil {
		return fmt.Errorf("fetch %s: %w", target.Version, err)
	}
	l.setReplica(r)
	l.options.Log.Info().Str("Version", target.Version).Str("Root", target.Root).
		Dur("Took", time.Since(started)).Msg("weights held")
	return nil
}

// waitTurn waits while the floor of upstreams in service would be broken or the rollout is paused.
func (l *Loader) waitTurn(ctx context.Context, target hub.Pin) error {
	for {
		v := l.options.Keeper.Current()
		g := v.Rules.FindGroup(l.options.Group)
		switch {
		case g == nil:
			l.note("no rule names the group")
		case g.Paused:
			l.note("the rollout is paused by a rule")
		default:
			t := turn{self: l.options.Self, group: l.options.Group, domain: l.options.Domain, root: target.Root, floorPercent: g.FloorPercent}
			granted, ahead := t.granted(v.Members)
			if granted || l.ServingRoot() == "" {
				l.options.Log.Info().Str("Version", target.Version).Int("FloorPercent", g.FloorPercent).Msg("load granted")
				return nil
			}
			l.note(fmt.Sprintf("waits for %d others to load, so that the floor of %d%% holds", ahead, g.FloorPercent))
		}
		l.waitViewOrPoll(ctx)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// drain takes the upstream out of service and waits until no request is in progress.
func (l *Loader) drain(ctx context.Context) error {
	l.note("")
	l.options.Guard.Block(guard.ReasonLoading)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.options.Guard.Idle():
		return nil
	}
}

// reopen returns the upstream to service with the version that it still serves.
func (l *Loader) reopen(ctx context.Context) {
	if l.ServingRoot() != "" {
		l.options.Guard.Unblock(guard.ReasonLoading)
	}
}

// order gives the load order and waits until the engine holds the target.
func (l *Loader) order(ctx context.Context, target hub.Pin) error {
	l.setServing(hub.Pin{})
	v := l.options.Keeper.Current()
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
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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

func (l *Loader) serve(target hub.Pin) {
	l.note("")
	l.setServing(target)
	l.options.Guard.Restart()
	l.options.Guard.Unblock(guard.ReasonNotLoaded)
	l.options.Guard.Unblock(guard.ReasonLoading)
	l.options.Log.Info().Str("Version", target.Version).Str("Root", target.Root).Msg("version served")
}

// hold stays until the target is another one, or returns an error when the engine has lost it.
func (l *Loader) hold(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-l.lost:
		return errLost
	}
}

func (l *Loader) fire(event string) {
	if err := l.machine.Event(context.Background(), event); err != nil && l.machine.Current() != StateIdle {
		l.options.Log.Error().Str("Event", event).Err(err).Msg("unexpected event")
	}
}

func (l *Loader) note(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.Note = text
}

func (l *Loader) setReplica(r *replica.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replica = r
}

func (l *Loader) setServing(p hub.Pin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress.ServingVersion = p.Version
	l.progress.ServingRoot = p.Root
}

func (l *Loader) waitView(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.options.Keeper.Changed():
	}
}

func (l *Loader) waitViewOrPoll(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.options.Keeper.Changed():
	case <-timer.C:
	}
}
