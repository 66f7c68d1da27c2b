package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/justinas/alice"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const (
	// upstreamDialTimeout bounds the opening of a connection to an upstream: another one is asked after it.
	upstreamDialTimeout = 300 * time.Millisecond
	// headerTimeout bounds the reading of a head; idleTimeout that of waiting for the next request. Both are
	// above what any desired state allows callers, so that no caller within its limits is cut.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	sweepInterval  = time.Second
	// drainPause is the time for which a stopping process takes new connections: the balancer asks once a
	// second and takes it out after two refusals.
	drainPause = 2500 * time.Millisecond
	// stopMargin is left of the time for a planned stop to end what does not wait.
	stopMargin = 700 * time.Millisecond
)

// Entry is a running entry process.
type Entry struct {
	*node
	placement *placement.Placement
	pool      *channel.Pool
	callers   *http.Server
	ready     *http.Server
}

// StartEntry runs an entry process until Stop.
func StartEntry(s settings.Node, j *journal.Journal, p Platform) (*Entry, error) {
	e := &Entry{pool: channel.NewPool(socket.Dialer(upstreamDialTimeout))}
	e.node = newNode(s, hub.RoleEntry, j, p, func() hub.Member { return e.record() })
	e.placement = placement.New(placement.Options{
		Directory:   e.directory,
		Domain:      s.Domain,
		Region:      s.Region,
		SwitchBound: e.switchBound,
		Entries:     e.sharers,
	})
	if err := e.listen(nil, e.record, e.serving); err != nil {
		return nil, err
	}
	if err := e.serve(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.run(ctx)
	e.running.Go(func() { e.mirror.Run(ctx) })
	e.running.Go(func() { e.placement.Run(ctx) })
	e.running.Go(func() { e.sweep(ctx) })
	e.running.Go(func() {
		beacon.Receive(ctx, e.reports, j.Logger(journal.State), func(b beacon.Beacon) { e.placement.Report(b.Address, b.Report) })
	})
	return e, nil
}

func (e *Entry) record() hub.Member {
	if e.leaving.Load() {
		return e.member(hub.StateLeaving)
	}
	return e.member(hub.StateServing)
}

// serving reports why the process must not receive callers yet, or nil.
func (e *Entry) serving() error {
	switch {
	case e.leaving.Load():
		return errors.New("process is stopping")
	case !e.directory.Current().Ready():
		return errors.New("desired state or upstreams not known yet")
	default:
		return nil
	}
}

// serve opens the listeners for callers and for the balancer.
func (e *Entry) serve() error {
	s := &e.settings
	callers, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("callers' listener: %w", err)
	}
	ready, err := net.Listen("tcp", s.ReadyListen)
	if err != nil {
		return fmt.Errorf("balancer's listener: %w", err)
	}
	handler := forward.New(forward.Options{
		Directory: e.directory,
		Placement: e.placement,
		Pool:      e.pool,
		Repeats:   allowance.NewRetryBudget(s.Bounds.RepeatWindow.Std(), e.repeatBounds, e.sharers),
		Format:    e.platform.Format,
		Log:       e.journal.Logger(journal.Routing),
		Metrics:   e.metrics,
	})
	e.callers = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.journal.Logger(journal.Process).Std("", 0),
	}
	e.ready = &http.Server{Handler: alice.New(noStore).ThenFunc(e.answerReady), ReadHeaderTimeout: headerTimeout}
	go func() { _ = e.callers.Serve(callers) }()
	go func() { _ = e.ready.Serve(ready) }()
	return nil
}

// repeatBounds returns the bounds of repeats that are in force.
func (e *Entry) repeatBounds() allowance.Bounds {
	b := e.bounds.Load()
	return allowance.Bounds{Ratio: b.RepeatRatio, Slack: b.RepeatSlack}
}

func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// answerReady tells the balancer whether the process takes new connections.
func (e *Entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.serving(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) sweep(ctx context.Context) {
	for hub.Sleep(ctx, sweepInterval) == nil {
		e.pool.Sweep()
	}
}

// Stop ends the process once the requests in progress have finished.
func (e *Entry) Stop(ctx context.Context) {
	e.callers.SetKeepAlivesEnabled(false)
	e.leave(ctx)
	_ = hub.Sleep(ctx, drainPause)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-stopMargin))
		defer cancel()
	}
	if err := e.callers.Shutdown(ctx); err != nil {
		e.journal.Logger(journal.Process).Warn().Err(err).Msg("requests cut by the end of the time for a stop")
	}
	_ = e.ready.Close()
	e.end(ctx)
}
