package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// reportLimit is the age up to which a report of an upstream is believed.
	reportLimit = 1500 * time.Millisecond
	// failurePause is the time for which an upstream that failed is chosen only if there is no other;
	// it doubles with each further failure in a row up to maxFailurePause.
	failurePause    = 150 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// unseenFactor scales the prompts sent from here for those that other processes send at the same time.
	unseenFactor = 1.5
	// fullPause is the time for which an upstream that refused is left alone.
	fullPause = 60 * time.Millisecond
)

// Load is what this process knows of the load of one lifetime of an upstream.
type Load struct {
	created time.Time
	running atomic.Int64
	// unread is the number of prompt tokens sent from here whose answers have not begun, waiting that of the requests.
	unread  atomic.Int64
	waiting atomic.Int64
	// others is the load that other processes cause, by the last report; othersWaiting is the part that has not begun.
	others        atomic.Int64
	othersWaiting atomic.Int64
	report        atomic.Pointer[timedReport]
	// avoidUntil is in nanoseconds since created.
	avoidUntil atomic.Int64
	failures   atomic.Int64
	// fullUntil is the end of the pause after a refusal, on the same clock.
	fullUntil atomic.Int64
	// goneAt is when the upstream's address answered for another lifetime, or for one without weights.
	goneAt atomic.Int64
	cold   coldLimiter
}

type timedReport struct {
	hub.UpstreamReport
	at time.Time
}

func newLoad() *Load { return &Load{created: time.Now()} }

// now returns the time since the record was made, in nanoseconds on the monotonic clock.
func (l *Load) now() int64 { return int64(time.Since(l.created)) }

// Report takes in what the upstream said of itself.
func (l *Load) Report(r hub.UpstreamReport) {
	l.others.Store(max(0, int64(r.Running+r.Waiting)-l.running.Load()))
	l.othersWaiting.Store(max(0, int64(r.Waiting)-l.waiting.Load()))
	l.report.Store(&timedReport{UpstreamReport: r, at: time.Now()})
}

// fresh returns the last report, or nil when it is too old.
func (l *Load) fresh() *timedReport {
	r := l.report.Load()
	if r == nil || time.Since(r.at) > reportLimit {
		return nil
	}
	return r
}

// total returns the requests that the upstream is believed to have.
func (l *Load) total() int {
	n := int(l.running.Load())
	if l.fresh() != nil {
		n += int(l.others.Load())
	}
	return n
}

// readTime returns the time in which the upstream reads the prompts that it is believed to have unread.
func (l *Load) readTime(e *hub.EngineModel) time.Duration {
	tokens := unseenFactor * float64(l.unread.Load())
	pace := 1.0
	if r := l.fresh(); r != nil {
		pace = max(pace, r.Pace)
		others := float64(l.othersWaiting.Load()) * float64(e.UsualPrompt)
		tokens += max(0, others-time.Since(r.at).Seconds()*e.ReadPerSecond)
	}
	return time.Duration(pace * tokens / e.ReadPerSecond * float64(time.Second))
}

// Failed makes the upstream a last resort for a while that grows with each failure in a row.
func (l *Load) Failed() {
	n := l.failures.Add(1)
	pause := time.Duration(float64(failurePause) * math.Exp2(float64(min(n-1, 8))))
	l.avoidUntil.Store(l.now() + int64(min(pause, maxFailurePause)))
}

// Refused keeps the upstream from being chosen for a moment: it has no place or takes new weights.
func (l *Load) Refused() { l.fullUntil.Store(l.now() + int64(fullPause)) }

// full reports whether the upstream refused a moment ago.
func (l *Load) full() bool { return l.now() < l.fullUntil.Load() }

// Gone keeps the upstream from being chosen until a later report shows that this lifetime serves after all.
func (l *Load) Gone() { l.goneAt.Store(l.now()) }

// gone reports whether nothing has been heard of the upstream since its address answered for another lifetime.
func (l *Load) gone() bool {
	at := l.goneAt.Load()
	if at == 0 {
		return false
	}
	r := l.report.Load()
	return r == nil || int64(r.at.Sub(l.created)) <= at
}

// silent reports whether the side process of the upstream told of it once and no longer does.
func (l *Load) silent() bool { return l.report.Load() != nil && l.fresh() == nil }

// Succeeded forgets the failures.
func (l *Load) Succeeded() { l.failures.Store(0) }

func (l *Load) avoided() bool { return l.now() < l.avoidUntil.Load() || l.silent() }

// held returns the version that the upstream answers from, by the newest source.
func (l *Load) held(u *directory.Upstream) uint64 {
	if r := l.fresh(); r != nil && r.Born == u.Born {
		return r.Held
	}
	return u.Version
}

// hasContent reports whether the side process of the upstream is known to hold the content of a version.
func (l *Load) hasContent(version uint64) bool {
	r := l.fresh()
	return r != nil && r.Fetched >= version
}

// loading reports whether the upstream is known to be taking new weights.
func (l *Load) loading() bool {
	r := l.fresh()
	return r != nil && r.Busy
}

// coldLimiter bounds the requests that this process sends to a cold upstream.
type coldLimiter struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// take reports whether one more request may be sent at rate a second.
func (c *coldLimiter) take(rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		c.tokens = 1
	} else {
		c.tokens = min(1, c.tokens+rate*now.Sub(c.at).Seconds())
	}
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
