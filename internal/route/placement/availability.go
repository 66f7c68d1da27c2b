package placement

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// failurePause is the time after a failure during which an upstream is chosen only if there is no other.
	// It doubles with each consecutive failure up to maxFailurePause.
	failurePause    = 150 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// refusalPause is the time after a refusal during which an upstream is not chosen.
	refusalPause = 60 * time.Millisecond
)

// availability holds what one instance of an upstream has shown or asked for that limits the requests that this process
// may send to it, and until when. It is safe for concurrent use. Its times are in nanoseconds since created.
type availability struct {
	created time.Time
	// leaving is true once the upstream has stated that it is leaving. It stays true for the lifetime of the upstream,
	// whatever the list of upstreams says.
	leaving atomic.Bool
	// pausedUntil is the end of the pause that the upstream has asked for.
	pausedUntil atomic.Int64
	// avoidUntil is the end of the pause after a failure.
	avoidUntil atomic.Int64
	// failures is the number of consecutive failures.
	failures atomic.Int64
	// unreachableAt is the time of the last failed attempt to connect to the upstream's address, unreachableUntil the end of the pause
	// after it.
	unreachableAt    atomic.Int64
	unreachableUntil atomic.Int64
	// refusalUntil is the end of the pause after a refusal.
	refusalUntil atomic.Int64
	// misdirectedAt is the time of the last response at the upstream's address that came from another instance or
	// version; 0 if there was none.
	misdirectedAt atomic.Int64
	// rateLimit is the rate limit that the upstream has named, nil if it names none.
	rateLimit atomic.Pointer[namedRateLimit]
	// reportedAt is the time of the upstream's last report; 0 if there was none.
	reportedAt atomic.Int64
}

// now returns the time since created in nanoseconds, by the monotonic clock.
func (a *availability) now() int64 { return int64(time.Since(a.created)) }

// Leaves records that the upstream has stated that it is leaving. It is never chosen again.
func (a *availability) Leaves() { a.leaving.Store(true) }

// Leaving reports whether the upstream has stated that it is leaving.
func (a *availability) Leaving() bool { return a.leaving.Load() }

// Pause records that the upstream has asked not to be sent any request for d. A pause that ends later stays in force.
func (a *availability) Pause(d time.Duration) {
	end := a.now() + int64(d)
	for {
		old := a.pausedUntil.Load()
		if end <= old || a.pausedUntil.CompareAndSwap(old, end) {
			return
		}
	}
}

// pauseLeft returns the time until the end of the pause that the upstream has asked for, 0 if there is none.
func (a *availability) pauseLeft() time.Duration {
	return time.Duration(max(0, a.pausedUntil.Load()-a.now()))
}

// Failed records a failure: the upstream is chosen only if there is no other, for a time that grows with each
// consecutive failure.
func (a *availability) Failed() {
	n := a.failures.Add(1)
	pause := time.Duration(float64(failurePause) * math.Exp2(float64(min(n-1, 8))))
	a.avoidUntil.Store(a.now() + int64(min(pause, maxFailurePause)))
}

// Unreachable records that the upstream's address refused a connection. It is a failure after which requests wait for another upstream
// rather than choose this one, until the pause after the failure ends or the upstream sends a report.
func (a *availability) Unreachable() {
	a.Failed()
	a.unreachableAt.Store(a.now())
	a.unreachableUntil.Store(a.avoidUntil.Load())
}

// unreachable reports whether the upstream's address has refused a connection, and it is not known to accept them again.
func (a *availability) unreachable() bool {
	return a.now() < a.unreachableUntil.Load() && a.reportedAt.Load() <= a.unreachableAt.Load()
}

// Succeeded resets the number of consecutive failures.
func (a *availability) Succeeded() { a.failures.Store(0) }

// Refused records that the upstream refused a request because it has no free slot or loads weights. The upstream is not
// chosen during refusalPause.
func (a *availability) Refused() { a.refusalUntil.Store(a.now() + int64(refusalPause)) }

// inRefusalPause reports whether the upstream refused a request within the last refusalPause.
func (a *availability) inRefusalPause() bool { return a.now() < a.refusalUntil.Load() }

// Misdirected records that a request reached another instance or version at the upstream's address. The upstream is
// not chosen until it sends a report.
func (a *availability) Misdirected() { a.misdirectedAt.Store(a.now()) }

// misdirected reports whether the upstream has sent no report since a request at its address reached another instance
// or version.
func (a *availability) misdirected() bool {
	at := a.misdirectedAt.Load()
	return at != 0 && a.reportedAt.Load() <= at
}
