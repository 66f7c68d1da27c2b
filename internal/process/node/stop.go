package node

import (
	"context"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
)

const (
	// drainDelay is the time for which a stopping process still accepts connections. The load balancer checks readiness
	// once a second and stops sending connections after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// inProgressInterval is the interval at which a stopping process checks whether requests are in progress.
	inProgressInterval = 10 * time.Millisecond
	// stopMargin is the part of the time for a planned stop that is reserved for the steps after the requests in
	// progress have ended, answerTime the part of it in which those that were interrupted are answered.
	stopMargin = 700 * time.Millisecond
	answerTime = 300 * time.Millisecond
)

// Stop announces that the process is leaving, waits until the requests in progress have finished and ends the process.
// Requests that have not finished shortly before the deadline of ctx are interrupted: those of which no part of a response has
// been sent are answered, streams are cut.
//
// For drainDelay it serves requests as before, on new and on open connections. Then it accepts no more connections and
// refuses the requests that still come on open ones, or whose bodies have not been received: they could not be completed in
// the time that is left.
func (e *Entry) Stop(ctx context.Context) {
	began := time.Now()
	e.announceLeaving(ctx)
	_ = hub.Sleep(ctx, drainDelay)
	e.refusing.Store(true)
	e.journal.Logger(journal.Process).Info().Dur("SinceSignal", time.Since(began)).Int64("InProgress", e.inProgress.Load()).Msg("requests are no longer accepted")
	_ = e.listener.Close()
	e.finishRequests(ctx)
	_ = e.ready.Close()
	e.shutdown(ctx)
}

// finishRequests waits until the requests in progress have finished, interrupts them shortly before the deadline of ctx, and
// closes the connections of callers.
func (e *Entry) finishRequests(ctx context.Context) {
	defer e.interrupt()
	defer e.callers.Close()
	waiting := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		waiting, cancel = context.WithDeadline(ctx, deadline.Add(-stopMargin))
		defer cancel()
	}
	for e.inProgress.Load() > 0 && hub.Sleep(waiting, inProgressInterval) == nil {
		continue
	}
	if e.callers.Shutdown(waiting) == nil {
		return
	}
	e.journal.Logger(journal.Process).Warn().Int64("InProgress", e.inProgress.Load()).Msg("time to stop is up; interrupting the requests in progress")
	e.interrupt()
	answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	if err := e.callers.Shutdown(answering); err != nil {
		e.journal.Logger(journal.Process).Warn().Int64("InProgress", e.inProgress.Load()).Err(err).Msg("interrupted requests have not ended; closing their connections")
	}
}
