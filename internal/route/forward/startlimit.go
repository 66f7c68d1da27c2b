package forward

import (
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// recheckInterval is the maximum time after which a limit follows a version that was named, or an age that was corrected, after its
// attempt began.
const recheckInterval = 250 * time.Millisecond

// startLimit ends an attempt whose response has not started by the time at which the version of its upstream is due to be replaced,
// unless the upstream serves a newer version by then. It is safe for concurrent use.
type startLimit struct {
	choice *placement.Choice
	end    func()

	mu sync.Mutex
	// timer is nil for an upstream without versions, and once the limit has been removed.
	timer *time.Timer
}

// newStartLimit returns the limit of an attempt at the upstream of c, which end ends.
func newStartLimit(c *placement.Choice, end func()) *startLimit {
	l := &startLimit{choice: c, end: end}
	if c.Held == 0 {
		return l
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule(c.StartBy)
	return l
}

// schedule makes pass be called at the given time, zero if there is no limit yet, or to look for another limit before. The caller holds
// mu.
func (l *startLimit) schedule(at time.Time) {
	wait := recheckInterval
	if !at.IsZero() {
		wait = min(wait, time.Until(at))
	}
	l.timer = time.AfterFunc(wait, l.pass)
}

// pass ends the attempt unless the limit has been removed meanwhile or is later, by what is known now of the versions.
func (l *startLimit) pass() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer == nil {
		return
	}
	if at := l.choice.CurrentStartBy(); at.IsZero() || time.Now().Before(at) {
		l.schedule(at)
		return
	}
	l.end()
}

// stop removes the limit. It may be called on nil.
func (l *startLimit) stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}
