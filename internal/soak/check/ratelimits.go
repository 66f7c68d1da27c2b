package check

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// checkRateLimits checks that all processes together keep to the rate limits that upstreams name.
func (c *checker) checkRateLimits() {
	for _, change := range c.Changes {
		if change.Kind == record.RateLimited {
			c.checkRateLimit(change)
		}
	}
}

// checkRateLimit checks the arrivals at an upstream while it names a limit, in windows that end later than Bounds.Contact
// after it has named it. Neither a process that was disturbed since counts, nor an upstream whose links were.
func (c *checker) checkRateLimit(limit record.Change) {
	var window []time.Duration
	allowed := c.bounds.LimitTolerance*limit.PerSecond*c.bounds.LimitWindow.Seconds() + float64(c.bounds.LimitSlack)
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		if a.Upstream != limit.Subject || a.At < limit.At || limit.Until != 0 && a.At > limit.Until || !c.countsFor(limit, a) {
			continue
		}
		window = append(window, a.At)
		for a.At-window[0] > c.bounds.LimitWindow {
			window = window[1:]
		}
		if a.At > limit.At+c.bounds.Contact && float64(len(window)) > allowed {
			c.add(WithinRateLimit, a.At, "%d requests reached %s within %s, which takes %g a second", len(window), a.Upstream, c.bounds.LimitWindow, limit.PerSecond)
			return
		}
	}
}

// countsFor reports whether an arrival counts for a limit: its process has known the limit for a while, and neither it nor
// the upstream was disturbed.
func (c *checker) countsFor(limit record.Change, a *record.Arrival) bool {
	q := c.requests[a.RequestId]
	if q == nil || c.disturbed(limit.At-c.bounds.Contact, a.At, touches(q.Process)) {
		return false
	}
	return !c.disturbed(limit.At-c.bounds.Contact, a.At, func(d record.Disturbance) bool { return d.Target == limit.Subject })
}
