package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// hedgeInterval is the interval at which a hedge is tried again while an attempt is late.
const hedgeInterval = 100 * time.Millisecond

// attemptTimer makes a hedge while the response to an attempt is late, and further ones while the latest hedge is late too. Once one
// has been accepted, it ends the attempt and the other hedges, not before: a slow or silent upstream that is sound still answers, and
// another one may refuse the request whatever its room seems to be. It is safe for concurrent use.
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
	// delay is the time after which the response of the attempt or of a hedge is late.
	delay time.Duration
	// due is the time at which the next hedge is made.
	due time.Time
	// lastEvent is the event after which a hedge continues.
	lastEvent string
	// trials are the hedges that await their responses, the latest one last.
	trials []*trial
	// trialEnded is signaled at the end of each of them.
	trialEnded *sync.Cond
	// accepted is the hedge for which the attempt was ended, or that takes its place if it fails.
	accepted *hedge
	// held is true once the upstream has begun to respond: the attempt is not ended for a hedge any more.
	held bool
	// suspended is true while no hedge may begin, as after the end of the attempt.
	suspended bool
}

// trial is a hedge that awaits the beginning of its response.
type trial struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// round and lastEvent are those of the timer at its beginning.
	round     int
	lastEvent string
	// sent is true once the hedge has got an upstream and is about to be sent.
	sent bool
}

// newAttemptTimer returns a stopped timer that calls end with the reason to end the attempt. ctx is the context of the exchange.
func newAttemptTimer(ctx context.Context, end context.CancelCauseFunc, g *hedger) *attemptTimer {
	t := &attemptTimer{ctx: ctx, end: end, hedger: g}
	t.trialEnded = sync.NewCond(&t.mu)
	return t
}

// limit ends the attempt at the upstream of c by the time at which its response must have started, unless the timer is stopped before.
func (t *attemptTimer) limit(c *placement.Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLimit = newStartLimit(c, func() { t.end(errReplaced) })
}

// start makes the response late after d. Hedges continue after lastEvent, or begin anew if that is empty.
func (t *attemptTimer) start(d time.Duration, lastEvent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepted != nil {
		return
	}
	t.round++
	t.delay, t.lastEvent = d, lastEvent
	t.schedule(d)
}

// schedule makes the next hedge after d, in place of one that was scheduled before. The caller holds mu.
func (t *attemptTimer) schedule(d time.Duration) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.due = time.Now().Add(d)
	if t.suspended {
		return
	}
	round := t.round
	t.timer = time.AfterFunc(d, func() { t.tryHedge(round) })
}

// tryHedge makes a hedge and ends the attempt if it is accepted. Otherwise it tries again later.
func (t *attemptTimer) tryHedge(round int) {
	current := t.begin(round)
	if current == nil {
		return
	}
	h := t.hedger.attempt(current.ctx, current.cancel, current.lastEvent, func() { t.sent(current) })
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.remove(current)
	switch {
	case !t.isOpen(round):
		h.release()
	case h != nil:
		t.accept(h)
	case latest:
		t.schedule(hedgeInterval)
	}
}

// isOpen reports whether a hedge of the given round may still be accepted. The caller holds mu.
func (t *attemptTimer) isOpen(round int) bool { return round == t.round && t.accepted == nil }

// begin returns a new trial, nil if none may begin in the given round. Only one trial at a time looks for an upstream.
func (t *attemptTimer) begin(round int) *trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspended || !t.isOpen(round) || t.hasUnsentTrial(round) {
		return nil
	}
	ctx, cancel := context.WithCancelCause(t.ctx)
	current := &trial{ctx: ctx, cancel: cancel, round: round, lastEvent: t.lastEvent}
	t.trials = append(t.trials, current)
	return current
}

// hasUnsentTrial reports whether a hedge of the given round has not been sent yet. The caller holds mu.
func (t *attemptTimer) hasUnsentTrial(round int) bool {
	return slices.ContainsFunc(t.trials, func(current *trial) bool { return current.round == round && !current.sent })
}

// sent makes a hedge that is about to be sent late after delay.
func (t *attemptTimer) sent(current *trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current.sent = true
	if t.isOpen(current.round) {
		t.schedule(t.delay)
	}
}

// remove removes a trial that has ended and reports whether it was the latest one. The caller holds mu.
func (t *attemptTimer) remove(ended *trial) (latest bool) {
	i := slices.Index(t.trials, ended)
	latest = i == len(t.trials)-1
	t.trials = slices.Delete(t.trials, i, i+1)
	t.trialEnded.Broadcast()
	return latest
}

// accept ends the attempt, unless it is held, and all other hedges in favor of h. The caller holds mu.
func (t *attemptTimer) accept(h *hedge) {
	t.accepted = h
	t.timer.Stop()
	t.cancelTrials(errSlow)
	if !t.held {
		t.end(errSlow)
	}
}

// cancelTrials ends the hedges that await their responses. The caller holds mu.
func (t *attemptTimer) cancelTrials(cause error) {
	for _, current := range t.trials {
		current.cancel(cause)
	}
}

// hold makes the attempt go on beside an accepted hedge, which is used only if the attempt fails: its upstream has begun to respond,
// and the hedge's may still be silent.
func (t *attemptTimer) hold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = true
}

// stop stops the timer, removes the limit and ends the hedges that await their responses. It returns false if it is too late: the
// attempt has been ended for a hedge.
func (t *attemptTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopTimers()
	t.round++
	t.cancelTrials(errUnneeded)
	return t.accepted == nil
}

// stopTimers stops the timer and removes the limit. The caller holds mu.
func (t *attemptTimer) stopTimers() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.startLimit.stop()
}

// suspend makes no hedge begin, and removes the limit, until the attempt is finished.
func (t *attemptTimer) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspended = true
	t.stopTimers()
}

// finish ends the timer of an attempt that has ended. If it has failed, finish waits for the hedges that await their responses, and
// returns the one that was accepted, nil if there is none. The caller must release it.
func (t *attemptTimer) finish(failed bool) *hedge {
	if !failed {
		t.stop()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if failed {
		t.awaitTrials()
	}
	t.suspended = true
	t.stopTimers()
	h := t.accepted
	t.accepted = nil
	if !failed {
		h.release()
		return nil
	}
	return h
}

// awaitTrials waits until a hedge has been accepted or none awaits its response any more. Meanwhile it makes further ones as during the
// attempt. The caller holds mu.
func (t *attemptTimer) awaitTrials() {
	t.suspended = false
	if t.hasOpenTrial() {
		t.schedule(time.Until(t.due))
	}
	for t.hasOpenTrial() {
		t.trialEnded.Wait()
	}
	t.suspended = true
	for len(t.trials) > 0 {
		t.trialEnded.Wait()
	}
}

// hasOpenTrial reports whether a hedge that may still be accepted awaits its response. The caller holds mu.
func (t *attemptTimer) hasOpenTrial() bool {
	return slices.ContainsFunc(t.trials, func(current *trial) bool { return t.isOpen(current.round) })
}
