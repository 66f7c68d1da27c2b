package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// maxColdTurn is the maximum time for which a process may use its turn at a cold upstream.
	maxColdTurn = 250 * time.Millisecond
	// minColdInterval and maxColdInterval limit the time between the turns of two processes.
	minColdInterval = time.Microsecond
	maxColdInterval = time.Minute
)

// coldTurns are the turns of one of several entry processes at a cold upstream. The processes take turns at even intervals, so
// that their requests stay within the upstream's limit however many processes there are. A turn that is not used expires, so
// that the processes do not all send a request at once after a pause.
type coldTurns struct {
	// period is the time between two turns of this process, offset the time of its turn in the period.
	period time.Duration
	offset time.Duration
	// end is the end of the cold time, to which all processes align their periods.
	end time.Time
}

// newColdTurns returns the turns at u of the process at place t among at least the given number of entry processes.
func newColdTurns(u *directory.Upstream, t Turn, entries int, perSecond float64) coldTurns {
	n := max(1, entries, t.Entries)
	interval := time.Duration(min(max(float64(time.Second)/perSecond, float64(minColdInterval)), float64(maxColdInterval)))
	first := int(xxhash.Sum64String(u.Address) % uint64(n))
	place := (max(0, t.Index) + first) % n
	return coldTurns{period: interval * time.Duration(n), offset: interval * time.Duration(place), end: u.ColdUntil}
}

// length returns the time for which a turn lasts.
func (c coldTurns) length() time.Duration { return min(maxColdTurn, c.period) }

// current reports whether now is within a turn of this process.
func (c coldTurns) current(now time.Time) bool {
	since := (now.Sub(c.end) - c.offset) % c.period
	if since < 0 {
		since += c.period
	}
	return since < c.length()
}

// coldLimit lets one request of this process through in each of its turns at a cold upstream. It is safe for concurrent use.
type coldLimit struct {
	mu   sync.Mutex
	last time.Time
}

// take uses the current turn and reports whether there was one that was not used yet.
func (l *coldLimit) take(c coldTurns, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.free(c, now) {
		return false
	}
	l.last = now
	return true
}

// reached reports whether no request may be sent now.
func (l *coldLimit) reached(c coldTurns, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.free(c, now)
}

func (l *coldLimit) free(c coldTurns, now time.Time) bool {
	return c.current(now) && now.Sub(l.last) >= c.length()
}
