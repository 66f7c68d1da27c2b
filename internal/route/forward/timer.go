package forward

import (
	"sync"
	"time"
)

// moveCheckInterval is the interval at which another attempt is tried to be reserved while one is late.
const moveCheckInterval = 100 * time.Millisecond

// attemptTimer ends an attempt whose response is late. It does so only once all that another attempt needs is reserved: a
// slow or silent upstream that is sound still answers, and a room that was only seen may be taken by another request. It is safe
// for concurrent use.
type attemptTimer struct {
	end     func()
	reserve func() *reservation

	mu sync.Mutex
	// reserved is the reservation for which the attempt was ended.
	reserved *reservation
	timer    *time.Timer
	// limitTimer ends the attempt whether or not another upstream can take the request, nil if there is no such limit or if it
	// has been removed.
	limitTimer *time.Timer
	// round changes with each start and stop, so that a check in progress does not restart a stopped timer.
	round int
}

// newAttemptTimer returns a stopped timer that calls end.
func newAttemptTimer(end func(), reserve func() *reservation) *attemptTimer {
	return &attemptTimer{end: end, reserve: reserve}
}

// limit ends the attempt at the given time unless the timer is stopped before; a zero time has no effect.
func (t *attemptTimer) limit(at time.Time) {
	if at.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitTimer = time.AfterFunc(time.Until(at), t.passLimit)
}

// passLimit ends the attempt unless the limit has been removed meanwhile.
func (t *attemptTimer) passLimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limitTimer != nil {
		t.end()
	}
}

// start makes the response late after d. It has no effect once the attempt has been ended for a reservation.
func (t *attemptTimer) start(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserved != nil {
		return
	}
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

// check ends the attempt if another one can be reserved, and otherwise checks again later.
func (t *attemptTimer) check(round int) {
	r := t.reserve()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case round != t.round:
		r.release()
	case r != nil:
		t.reserved = r
		t.end()
	default:
		t.schedule(moveCheckInterval, round)
	}
}

// finish stops the timer and returns the reservation for which the attempt was ended, nil if there is none. The caller must use
// or release it.
func (t *attemptTimer) finish() *reservation {
	t.stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reserved
	t.reserved = nil
	return r
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
		t.limitTimer = nil
	}
}
