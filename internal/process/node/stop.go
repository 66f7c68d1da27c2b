package node

import (
	"context"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
)

const (
	// drainDelay is the time for which a stopping process still accepts connections. The load balancer checks readiness
	// once a second and stops sending connections after two failed checks. A busy VM may learn of the signal late, so that
	// little is added to that.
	drainDelay = 2200 * time.Millisecond
	// interruptMargin is the time before the deadline of a planned stop at which requests without a response are answered,
	// cutMargin that at which streams in progress are cut. What remains is for the other steps of the stop.
	interruptMargin = 700 * time.Millisecond
	cutMargin       = 400 * time.Millisecond
	// endTime is the time in which requests that were cut must end.
	endTime = 100 * time.Millisecond
)

// Stop announces that the process is leaving, waits until the requests in progress have finished and ends the process.
// Requests that have not finished shortly before the deadline of ctx are interrupted: those of which no part of a response has
// been sent are answered, streams are cut a little later.
//
// For drainDelay from the call it serves requests as before, on new and on open connections, however long the announcement
// takes. Then it accepts no more connections and refuses the requests that still come on open ones, or whose bodies have not
// been received: they could not be completed in the time that is left.
func (e *Entry) Stop(ctx context.Context) {
	began := time.Now()
	e.stop.Begin(before(ctx, cutMargin))
	e.leaving.Store(true)
	announced := make(chan struct{})
	go func() { defer close(announced); e.announceLeaving(ctx) }()
	_ = hub.Sleep(ctx, drainDelay)
	e.stop.Refuse()
	e.journal.Logger(journal.Process).Info().Dur("SinceSignal", time.Since(began)).Int64("InProgress", e.requests.InProgress()).Msg("requests are no longer accepted")
	_ = e.listener.Close()
	e.finishRequests(ctx)
	_ = e.ready.Close()
	<-announced
	e.shutdown(ctx)
}

// before returns the time d before the deadline of ctx, zero if that has none.
func before(ctx context.Context, d time.Duration) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-d)
}

// finishRequests waits until the requests in progress have finished, ends them shortly before the deadline of ctx, and closes the
// connections of callers.
func (e *Entry) finishRequests(ctx context.Context) {
	defer e.stop.Cut()
	defer e.callers.Close()
	if e.finishUndisturbed(ctx) {
		return
	}
	l := e.journal.Logger(journal.Process)
	l.Warn().Int64("InProgress", e.requests.InProgress()).Msg("time to stop is up; interrupting the requests in progress")
	e.stop.Interrupt()
	rest := context.WithoutCancel(ctx)
	if !e.requestsEndWithin(rest, interruptMargin-cutMargin) {
		l.Warn().Int64("InProgress", e.requests.InProgress()).Msg("cutting the streams in progress")
		e.stop.Cut()
		e.requestsEndWithin(rest, endTime)
	}
	closing, cancel := context.WithTimeout(rest, endTime)
	defer cancel()
	if err := e.callers.Shutdown(closing); err != nil {
		l.Warn().Int64("InProgress", e.requests.InProgress()).Err(err).Msg("interrupted requests have not ended; closing their connections")
		_ = e.callers.Close()
		// A request that waits for its caller to read ends with its connection, and is logged then.
		e.requestsEndWithin(rest, endTime)
	}
}

// finishUndisturbed waits until the requests in progress have finished and their connections are closed, or returns false at
// interruptMargin before the deadline of ctx.
func (e *Entry) finishUndisturbed(ctx context.Context) bool {
	if at := before(ctx, interruptMargin); !at.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, at)
		defer cancel()
	}
	return e.listener.Drain(ctx, e.callers, &e.requests) == nil
}

// requestsEndWithin waits until no request is in progress, or returns false after the given time.
func (e *Entry) requestsEndWithin(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return e.requests.Wait(ctx) == nil
}
