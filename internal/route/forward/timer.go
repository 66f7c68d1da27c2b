package forward

import (
	"context"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// hedgeInterval is the interval at which a hedge is tried again while an attempt is late.
const hedgeInterval = 100 * time.Millisecond

// attemptTimer makes a hedge while the response to an attempt is late, and ends the attempt once the hedge has been accepted: a
// slow or silent upstream that is sound still answers, and another one may refuse the request whatever its room seems to be. It is
// safe for concurrent use.
type attemptTimer struct {
	ctx    context.Context
	end    context.CancelCauseFunc
	hedger *hedger

	mu    sync.Mutex
	timer *time.Timer
	// startLimit ends the attempt whether or not another upstream can take the request, nil if there is no such limit.
	startLimit *startLimit
	// round changes with each start and stop, so that a hedge of an earlier round is not used.
	round int
	// lastEvent is the event after which a hedge continues.
	lastEvent string
	// trial is the hedge that awaits its response, nil if there is none.
	trial *trial
	// accepted is the hedge for which the attempt was ended, or that takes its place if it fails.
	accepted *hedge
	// held is true once the upstream has begun to respond: the attempt is not ended for a hedge any more.
	held bool
	// finished is true once the attempt has ended.
	finished bool
}

// trial is a hedge that awaits the beginning of its response.
type trial struct {
	cancel context.CancelCauseFunc
	// done is closed at its end.
	done chan struct{}
}

// newAttemptTimer returns a stopped timer that calls end with the reason to end the attempt. ctx is the context of the exchange.
func newAttemptTimer(ctx context.Context, end context.CancelCauseFunc, g *hedger) *attemptTimer {
	return &attemptTimer{ctx: ctx, end: end, hedger: g}
}

// limit ends the attempt at the upstream of c by the time at which its response must have started, unless the timer is stopped before.
func (t *attemptTimer) limit(c *placement.Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLimit = newStartLimit(c, func() { t.end(errReplaced) })
}

// start makes the response late after d. A hedge continues after lastEvent, or begins anew if that is empty.
func (t *attemptTimer) start(d time.Duration, lastEvent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepted != nil {
		return
	}
	t.round++
	t.lastEvent = lastEvent
	t.schedule(d, t.round)
}

// schedule makes a hedge after d. The caller holds mu.
func (t *attemptTimer) schedule(d time.Duration, round int) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(d, func() { t.tryHedge(round) })
}

// tryHedge makes a hedge and ends the attempt if it is accepted. Otherwise it tries again later.
func (t *attemptTimer) tryHedge(round int) {
	current, ctx, lastEvent := t.begin(round)
	if current == nil {
		return
	}
	defer close(current.done)
	h := t.hedger.attempt(ctx, current.cancel, lastEvent)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trial == current {
		t.trial = nil
	}
	switch {
	case round != t.round:
		h.release()
	case h != nil:
		t.accepted = h
		if !t.held {
			t.end(errSlow)
		}
	case !t.finished:
		t.schedule(hedgeInterval, round)
	}
}

// begin returns a new trial with its context, and the event after which it continues; nil if the round is over.
func (t *attemptTimer) begin(round int) (*trial, context.Context, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if round != t.round || t.finished {
		return nil, nil, ""
	}
	ctx, cancel := context.WithCancelCause(t.ctx)
	t.trial = &trial{cancel: cancel, done: make(chan struct{})}
	return t.trial, ctx, t.lastEvent
}

// hold makes the attempt go on beside an accepted hedge, which is used only if the attempt fails: its upstream has begun to respond,
// and the hedge's may still be silent.
func (t *attemptTimer) hold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = true
}

// stop stops the timer, removes the limit and ends the hedge that awaits its response. It returns false if it is too late: the
// attempt has been ended for a hedge.
func (t *attemptTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopTimers()
	t.round++
	if t.trial != nil {
		t.trial.cancel(errUnneeded)
	}
	return t.accepted == nil
}

// stopTimers stops the timer and removes the limit. The caller holds mu.
func (t *attemptTimer) stopTimers() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.startLimit.stop()
}

// finish ends the timer of an attempt that has ended. If it has failed, finish waits for the hedge that awaits its response, and
// returns the one that was accepted, nil if there is none. The caller must release it.
func (t *attemptTimer) finish(failed bool) *hedge {
	if !failed {
		t.stop()
	}
	awaited := t.close()
	if failed && awaited != nil {
		<-awaited.done
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.accepted
	t.accepted = nil
	if !failed {
		h.release()
		return nil
	}
	return h
}

// close makes no further hedges and returns the one that awaits its response, nil if there is none.
func (t *attemptTimer) close() *trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	t.stopTimers()
	return t.trial
}
