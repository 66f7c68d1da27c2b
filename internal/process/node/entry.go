package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
	"github.com/oriolehub/oriolehub/internal/state/delegate"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const (
	// upstreamDialTimeout is the time limit for connecting to an upstream, after which another upstream is tried.
	upstreamDialTimeout = 300 * time.Millisecond
	// headerTimeout limits the time for reading a request header, idleTimeout the time between two requests of a
	// connection. Both exceed all time limits that the configuration sets for callers, so that no caller within its
	// limits is disconnected.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// storeGrace is the time after the start for which a process does not serve by what it has heard from its peers only.
	// They may have missed changes that the store has.
	storeGrace = 600 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections to upstreams are closed.
	sweepInterval = time.Second
	// digestInterval is the interval at which reports of upstreams are passed on.
	digestInterval = 80 * time.Millisecond
)

// Entry is a running entry process.
type Entry struct {
	*node
	started time.Time
	// synchronized is true once the directory has shown what the store had when this process first asked it.
	synchronized atomic.Bool
	placement    *placement.Placement
	order        *entryOrder
	pool         *channel.Pool
	// collector holds the reports to pass on.
	collector *beacon.Collector
	callers   *http.Server
	ready     *http.Server
	// listener accepts the connections of callers.
	listener *listener.Listener
	// stop is the planned stop, requests are those that have begun and not ended.
	stop     *forward.Stop
	requests listener.Requests
}

// StartEntry starts an entry process, which runs until Stop.
func StartEntry(s settings.Node, j *journal.Journal, p Platform) (*Entry, error) {
	e := &Entry{started: time.Now(), collector: beacon.NewCollector(), stop: forward.NewStop()}
	e.node = newNode(s, hub.RoleEntry, j, p, func() hub.Member { return e.record() })
	e.order = newEntryOrder(s.Id, e.aliveEntries)
	e.pool = channel.New(channel.Options{
		Dial: socket.Dialer(upstreamDialTimeout), Entries: e.connectionSharers, Log: j.Logger(journal.Routing), Metrics: e.metrics,
	})
	e.placement = placement.New(placement.Options{
		Directory:   e.directory,
		Domain:      s.Domain,
		Region:      s.Region,
		SwitchBound: e.switchBound,
		Entries:     e.estimatedEntries,
		Turn:        e.order.turn,
		Connections: e.pool.Allowed,
		RateShare:   allowance.NewRateShares(s.Id, e.knownEntries, e.assumedEntries).Of,
		Concurrency: concurrency.Settings{Enabled: s.Concurrency.Enabled, InitialShare: s.Concurrency.InitialShare},
		Log:         j.Logger(journal.Routing),
		Metrics:     e.metrics,
	})
	if err := e.listen(nil, e.record, e.checkReady); err != nil {
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
		beacon.Receive(ctx, e.reports, j.Logger(journal.State), beacon.Handler{Report: e.receiveReport, Notice: e.quarantine.Merge})
	})
	e.running.Go(func() { e.passOnReports(ctx) })
	return e, nil
}

// receiveReport uses a report of an upstream. If its side process chose this process to receive it, it is passed on to
// the other entry processes of the failure domain.
func (e *Entry) receiveReport(r hub.SentReport, direct bool) {
	e.placement.Report(r)
	if direct {
		e.collector.Add(r)
	}
}

// passOnReports periodically sends the reports received from side processes to the entry processes of the failure domain
// that do not receive them directly, until ctx is done.
func (e *Entry) passOnReports(ctx context.Context) {
	for hub.Sleep(ctx, digestInterval) == nil {
		datagrams := e.collector.Take()
		if len(datagrams) == 0 {
			continue
		}
		receivers := e.reportAddressesOf(e.indirectReceivers())
		for _, data := range datagrams {
			if err := beacon.Send(e.node.reports, data, receivers); err != nil && ctx.Err() == nil {
				e.journal.Logger(journal.State).Debug().Err(err).Msg("cannot pass reports on to all entry processes; trying again with the next reports")
			}
		}
	}
}

// indirectReceivers returns the entry processes of the failure domain to which side processes send no reports.
func (e *Entry) indirectReceivers() []hub.Member {
	collectors := e.delegates.Of(delegate.CollectReports, e.settings.Domain)
	var out []hub.Member
	for _, m := range e.aliveMembers(hub.RoleEntry) {
		if m.Domain == e.settings.Domain && !delegate.Chosen(collectors, m.Id) {
			out = append(out, m)
		}
	}
	return out
}

// record returns the current member record of this process.
func (e *Entry) record() hub.Member {
	switch {
	case e.leaving.Load():
		return e.member(hub.StateLeaving)
	case e.mirror.Detached():
		return e.member(hub.StateDetached)
	default:
		return e.member(hub.StateServing)
	}
}

// checkReady returns the reason why the process is not ready for requests, or nil.
func (e *Entry) checkReady() error {
	switch {
	case e.leaving.Load():
		return errors.New("process is stopping")
	case !e.stateKnown():
		return errors.New("desired state or upstreams not known yet")
	default:
		return nil
	}
}

// stateKnown reports whether requests can be served by the desired state and the list of upstreams that this process
// has: it has asked the store for both, or has waited for it in vain. So a process that restarts does not use upstreams
// that have left or keys that were withdrawn because a peer has missed that.
func (e *Entry) stateKnown() bool {
	s := e.directory.Current()
	switch {
	case !s.Ready():
		return false
	case e.synchronized.Load() || time.Since(e.started) > storeGrace:
		return true
	case !e.mirror.Asked():
		return false
	}
	for _, name := range mirror.Documents {
		if s.Revisions[name] < e.catalog.Document(name).Revision {
			return false
		}
	}
	e.synchronized.Store(true)
	return true
}

// serve opens the listeners for callers and for readiness checks and starts to serve on them.
func (e *Entry) serve() error {
	s := &e.settings
	descriptors, err := descriptorsOf(s)
	if err != nil {
		return err
	}
	l, err := limitsOf(s, descriptors)
	if err != nil {
		return err
	}
	opened, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("open caller listener: %w", err)
	}
	callers, err := e.limitCallers(opened, &l)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", s.ReadyListen)
	if err != nil {
		return fmt.Errorf("open readiness listener: %w", err)
	}
	handler := forward.New(forward.Options{
		Directory:   e.directory,
		Ready:       e.stateKnown,
		Stop:        e.stop,
		Memory:      l.bodies(),
		BodyTimeout: s.Callers.BodyTimeout.Std(),
		Placement:   e.placement,
		Pool:        e.pool,
		RetryBudget: allowance.NewRetryBudget(s.Bounds.RepeatWindow.Std(), e.retryBounds, e.estimatedEntries),
		Quarantine:  e.quarantine,
		Format:      e.platform.Format,
		Log:         e.journal.Logger(journal.Routing),
		Metrics:     e.metrics,
	})
	e.callers = &http.Server{
		Handler:           alice.New(listener.LimitBodies(s.Callers.BodyTimeout.Std()), e.requests.Count, e.closeWhileLeaving).Then(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.journal.Logger(journal.Process).Std("", 0),
		ConnState:         callers.ConnState,
		ConnContext:       callers.ConnContext,
	}
	e.listener = callers
	if err := e.serveReady(ready, &l); err != nil {
		return err
	}
	go func() { _ = e.callers.Serve(callers) }()
	return nil
}

// retryBounds returns the current limits on retries.
func (e *Entry) retryBounds() allowance.Bounds {
	b := e.bounds.Load()
	return allowance.Bounds{Ratio: b.RepeatRatio, Slack: b.RepeatSlack}
}

// noStore adds a header to responses that prevents caches from storing them.
func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// closeWhileLeaving asks callers to use their connections no longer once the process is leaving.
func (e *Entry) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handleReady answers the load balancer's readiness check.
func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.checkReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweep periodically closes expired idle connections until ctx is done.
func (e *Entry) sweep(ctx context.Context) {
	for hub.Sleep(ctx, sweepInterval) == nil {
		e.pool.Sweep()
	}
}
