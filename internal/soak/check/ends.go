package check

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// checkEnds checks that requests end with an answer or a refusal, also while the desired state changes and upstreams hang. It
// does not judge those whose upstream has broken off, whose process, upstreams or store were disturbed, or whose time was up.
func (c *checker) checkEnds() {
	for i := range c.Requests {
		q := &c.Requests[i]
		took := q.Ended - q.Sent
		switch {
		case q.Outcome != record.Cut && q.Outcome != record.Failed:
		case c.BrokenOff[q.Id] || took >= c.shortestLimit(q) || c.crossedClose(q):
		case !c.disturbed(q.Sent-c.bounds.Contact, q.Ended, func(d record.Disturbance) bool { return touches(q.Process)(d) || isLinkOrStore(d) }):
			c.add(EndsAnswered, q.Ended, "%s at %s: %s with status %d after %s: %s", q.Id, q.Process, q.Outcome, q.Status, took, q.Detail)
		}
	}
}

// crossedClose reports whether a request may have crossed the close of its connection: it reached no upstream and ended soon.
func (c *checker) crossedClose(q *record.Request) bool {
	return q.Outcome == record.Cut && !c.arrived[q.Id] && q.Ended-q.Sent < c.bounds.Unnoticed
}

// mayLackRoute reports whether a desired state without the route of a request may have been in force for it.
func (c *checker) mayLackRoute(q *record.Request) bool {
	for _, x := range c.Changes {
		if x.Kind == record.RouteMissing && x.Subject == q.Route && c.mayBeInForce(x, q) {
			return true
		}
	}
	return false
}

// shortestLimit returns the shortest timeout of the route of a request that may have been in force for it.
func (c *checker) shortestLimit(q *record.Request) time.Duration {
	limit := q.Limit
	for _, x := range c.Changes {
		if x.Kind == record.RouteTimeout && x.Subject == q.Route && c.mayBeInForce(x, q) {
			limit = min(limit, x.Limit)
		}
	}
	return limit
}

// mayBeInForce reports whether a change of the desired state may have been in force at some time of a request. A process that
// was disturbed may learn late that it was taken back.
func (c *checker) mayBeInForce(x record.Change, q *record.Request) bool {
	return x.At <= q.Ended && (x.Until == 0 || q.Sent <= x.Until+c.bounds.Config || !c.inTouch(q.Process, x.Until, q.Sent))
}
