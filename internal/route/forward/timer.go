package forward

import (
	"sync"
	"time"
)

// moveCheckInterval is the interval at which a late attempt checks again whether another upstream can take the request.
const moveCheckInterval = 100 * time.Millisecond

// attemptTimer ends an attempt whose response is late. It does so only if another upstream can take the request: a slow
// upstream that is sound still answers, and there is no better one. It is safe for concurrent use.
type attemptTimer struct {
	end     func()
	canMove func() bool

	mu    sync.Mutex
	timer *time.Timer
	// limitTimer ends the attempt whether or not another upstream can take the request, nil if there is no such limit.
	limitTimer *time.Timer
	// round changes with each start and stop, so that a check in progress does not restart a stopped timer.
	round int
}

// newAttemptTimer returns a stopped timer that calls end.
func newAttemptTimer(end func(), canMove func() bool) *attemptTimer {
	return &attemptTimer{end: end, canMove: canMove}
}

// limit ends the attempt at the given time unless the timer is stopped before; a zero time has no effect.
func (t *attemptTimer) limit(at time.Time) {
	if at.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitTimer = time.AfterFunc(time.Until(at), t.end)
}

// start makes the response late after d.
func (t *attemptTimer) start(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	t.schedule(d, t.round)
}

// schedule checks the attempt after d.
func (t *attemptTimer) schedule(d time.Duration, round int) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = time.AfterFunc(d, func() { t.check(round) })
}

// check ends the attempt if another upstream can take the request, and otherwise checks again later.
func (t *attemptTimer) check(round int) {
	canMove := t.canMove()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case round != t.round:
	case canMove:
		t.end()
	default:
		t.schedule(moveCheckInterval, round)
	}
}

// stop stops the timer and removes the limit.
func (t *attemptTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.limitTimer != nil {
		t.limitTimer.Stop()
	}
}
