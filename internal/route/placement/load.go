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
	// maxReportAge is the age up to which an upstream's report is used.
	maxReportAge = 1500 * time.Millisecond
	// failurePause is the time after a failure during which an upstream is chosen only if there is no other.
	// It doubles with each consecutive failure up to maxFailurePause.
	failurePause    = 150 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// otherSendersFactor multiplies the prompt tokens sent by this process to account for those that other processes
	// send at the same time and that no report includes yet.
	otherSendersFactor = 1.5
	// refusalPause is the time after a refusal during which an upstream is not chosen.
	refusalPause = 60 * time.Millisecond
)

// Load is the estimated load and the availability of one instance of an upstream. It is safe for concurrent use.
// Its times are in nanoseconds since created.
type Load struct {
	created time.Time
	// running is the number of requests of this process that hold a slot.
	running atomic.Int64
	// pendingTokens is the number of prompt tokens in requests sent by this process whose responses have not started,
	// pendingRequests the number of these requests.
	pendingTokens   atomic.Int64
	pendingRequests atomic.Int64
	// others is the number of requests of other processes according to the last report, othersWaiting the number of
	// those that have not started.
	others        atomic.Int64
	othersWaiting atomic.Int64
	report        atomic.Pointer[timedReport]
	// avoidUntil is the end of the pause after a failure.
	avoidUntil atomic.Int64
	// failures is the number of consecutive failures.
	failures atomic.Int64
	// refusalUntil is the end of the pause after a refusal.
	refusalUntil atomic.Int64
	// misdirectedAt is the time of the last response at the upstream's address that came from another instance or
	// version; 0 if there was none.
	misdirectedAt atomic.Int64
	cold          coldLimiter
}

// timedReport is a report with the time at which it was received.
type timedReport struct {
	hub.UpstreamReport
	at time.Time
}

func newLoad() *Load { return &Load{created: time.Now()} }

// now returns the time since created in nanoseconds, by the monotonic clock.
func (l *Load) now() int64 { return int64(time.Since(l.created)) }

// Report stores an upstream's report and estimates the load of other processes from it.
func (l *Load) Report(r hub.UpstreamReport) {
	l.others.Store(max(0, int64(r.Running+r.Waiting)-l.running.Load()))
	l.othersWaiting.Store(max(0, int64(r.Waiting)-l.pendingRequests.Load()))
	l.report.Store(&timedReport{UpstreamReport: r, at: time.Now()})
}

// recentReport returns the last report, or nil if there is none or it is older than maxReportAge.
func (l *Load) recentReport() *timedReport {
	r := l.report.Load()
	if r == nil || time.Since(r.at) > maxReportAge {
		return nil
	}
	return r
}

// reportAge returns the age of the last report, -1 if there is none.
func (l *Load) reportAge() time.Duration {
	r := l.report.Load()
	if r == nil {
		return -1
	}
	return time.Since(r.at)
}

// total returns the estimated number of requests at the upstream.
func (l *Load) total() int {
	n := int(l.running.Load())
	if l.recentReport() != nil {
		n += int(l.others.Load())
	}
	return n
}

// prefillTime returns the estimated time that the upstream takes to process the prompts that wait there.
func (l *Load) prefillTime(e *hub.EngineModel) time.Duration {
	tokens := otherSendersFactor * float64(l.pendingTokens.Load())
	pace := 1.0
	if r := l.recentReport(); r != nil {
		pace = max(pace, r.Pace)
		others := float64(l.othersWaiting.Load()) * float64(e.UsualPrompt)
		tokens += max(0, others-time.Since(r.at).Seconds()*e.ReadPerSecond)
	}
	return time.Duration(pace * tokens / e.ReadPerSecond * float64(time.Second))
}

// Failed records a failure: the upstream is chosen only if there is no other, for a time that grows with each
// consecutive failure.
func (l *Load) Failed() {
	n := l.failures.Add(1)
	pause := time.Duration(float64(failurePause) * math.Exp2(float64(min(n-1, 8))))
	l.avoidUntil.Store(l.now() + int64(min(pause, maxFailurePause)))
}

// Refused records that the upstream refused a request because it has no free slot or loads weights. The upstream is not
// chosen during refusalPause.
func (l *Load) Refused() { l.refusalUntil.Store(l.now() + int64(refusalPause)) }

// inRefusalPause reports whether the upstream refused a request within the last refusalPause.
func (l *Load) inRefusalPause() bool { return l.now() < l.refusalUntil.Load() }

// Misdirected records that a request reached another instance or version at the upstream's address. The upstream is
// not chosen until it sends a report.
func (l *Load) Misdirected() { l.misdirectedAt.Store(l.now()) }

// misdirected reports whether the upstream has sent no report since a request at its address reached another instance
// or version.
func (l *Load) misdirected() bool {
	at := l.misdirectedAt.Load()
	if at == 0 {
		return false
	}
	r := l.report.Load()
	return r == nil || int64(r.at.Sub(l.created)) <= at
}

// reportsStopped reports whether the upstream's side process has sent reports and none within maxReportAge.
func (l *Load) reportsStopped() bool { return l.report.Load() != nil && l.recentReport() == nil }

// Succeeded resets the number of consecutive failures.
func (l *Load) Succeeded() { l.failures.Store(0) }

// avoided reports whether the upstream is to be chosen only if there is no other.
func (l *Load) avoided() bool { return l.now() < l.avoidUntil.Load() || l.reportsStopped() }

// held returns the version that the upstream serves, from its recent report or else from its entry in the store.
func (l *Load) held(u *directory.Upstream) uint64 {
	if r := l.recentReport(); r != nil && r.Born == u.Born {
		return r.Held
	}
	return u.Version
}

// hasFetched reports whether, according to a recent report, the upstream's side process has fetched the given version
// or a newer one.
func (l *Load) hasFetched(version uint64) bool {
	r := l.recentReport()
	return r != nil && r.Fetched >= version
}

// loading reports whether, according to a recent report, the upstream is loading weights.
func (l *Load) loading() bool {
	r := l.recentReport()
	return r != nil && r.Busy
}

// coldLimiter is a token bucket with a capacity of one token. It limits the requests that this process sends to a
// cold upstream.
type coldLimiter struct {
	mu sync.Mutex
	// tokens is the number of tokens in the bucket at the time at.
	tokens float64
	at     time.Time
}

// take removes a token from the bucket, which is refilled with rate tokens per second, and reports whether there was
// one.
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
