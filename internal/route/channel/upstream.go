package channel

import (
	"slices"
	"time"
)

// upstreamConns is the state of the connections to one upstream. It is protected by Pool.mu.
type upstreamConns struct {
	service string
	// limit is the number of connections that the upstream accepts from all entry processes, 0 for no limit.
	limit int
	// open is the number of connections, including idle ones and those being opened.
	open int
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
	// shared is the number of calls in progress that may reuse connections, demand their number in the recent past.
	shared  int
	demand  demand
	backoff backoff
}

// allowed returns the number of connections that this process may hold now. entries is the number of entry processes.
func (u *upstreamConns) allowed(entries int, now time.Time) int {
	share, _ := shareOf(u.limit, entries)
	return u.backoff.allowed(share, now)
}

// idleLimit returns the number of idle connections that may be kept: those that calls in the recent past would have used.
// An idle connection occupies room at the upstream that other entry processes may need.
func (u *upstreamConns) idleLimit(entries int, now time.Time) int {
	if u.limit <= 0 {
		return maxIdlePerAddress
	}
	if _, scarce := shareOf(u.limit, entries); scarce {
		return 0
	}
	return max(0, min(maxIdlePerAddress, u.demand.peak(now)-u.shared))
}

// reserve counts a connection that is about to be opened, and returns an idle one to close for it, if needed. It returns
// false if no further connection is allowed.
func (u *upstreamConns) reserve(entries int, now time.Time) (toClose *conn, ok bool) {
	if u.open < u.allowed(entries, now) {
		u.open++
		return nil, true
	}
	if len(u.idle) == 0 {
		return nil, false
	}
	toClose = u.idle[0]
	u.idle = slices.Delete(u.idle, 0, 1)
	return toClose, true
}

// takeIdle removes the most recently used idle connection, or returns nil.
func (u *upstreamConns) takeIdle() *conn {
	if len(u.idle) == 0 {
		return nil
	}
	c := u.idle[len(u.idle)-1]
	u.idle = u.idle[:len(u.idle)-1]
	return c
}

// begin counts a call that may reuse connections.
func (u *upstreamConns) begin(now time.Time) {
	u.shared++
	u.demand.observe(u.shared, now)
}

// put adds c to the idle connections, or returns false if it must be closed.
func (u *upstreamConns) put(c *conn, entries int, now time.Time) bool {
	if len(u.idle) >= u.idleLimit(entries, now) || u.open > u.allowed(entries, now) {
		return false
	}
	u.idle = append(u.idle, c)
	return true
}

// expire removes the idle connections that have reached their idle timeouts, and the least recently used ones that are not
// needed or exceed the share, and returns them.
func (u *upstreamConns) expire(entries int, now time.Time) []*conn {
	var expired []*conn
	surplus := max(len(u.idle)-u.idleLimit(entries, now), u.open-u.allowed(entries, now))
	kept := u.idle[:0]
	for i, c := range u.idle {
		if i < surplus || !now.Before(c.until) {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	u.idle = kept
	u.open -= len(expired)
	return expired
}

// unused reports whether nothing is known about the upstream that has an effect.
func (u *upstreamConns) unused(entries int, now time.Time) bool {
	share, _ := shareOf(u.limit, entries)
	return u.open == 0 && u.backoff.over(share, now) && u.demand.peak(now) == 0
}
