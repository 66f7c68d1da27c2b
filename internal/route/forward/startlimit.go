package forward

import (
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// startLimit ends an attempt whose response has not started by the time at which the version of its upstream is due to be replaced,
// unless the upstream serves a newer version by then. It is safe for concurrent use.
type startLimit struct {
	choice *placement.Choice
	end    func()

	mu sync.Mutex
	// timer is nil if there is no limit or once it has been removed.
	timer *time.Timer
}

// newStartLimit returns the limit of an attempt at the upstream of c, which end ends.
func newStartLimit(c *placement.Choice, end func()) *startLimit {
	l := &startLimit{choice: c, end: end}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule(c.StartBy)
	return l
}

// schedule makes pass be called at the given time, or removes the limit if that is zero. The caller holds mu.
func (l *startLimit) schedule(at time.Time) {
	l.timer = nil
	if !at.IsZero() {
		l.timer = time.AfterFunc(time.Until(at), l.pass)
	}
}

// pass ends the attempt unless the limit has been removed meanwhile or is later for the version that the upstream serves now.
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
