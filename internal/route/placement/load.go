package placement

import (
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// maxReportAge is the age up to which an upstream's report is used.
	maxReportAge = 1500 * time.Millisecond
	// otherSendersFactor multiplies the prompt tokens sent by this process to account for those that other processes
	// send at the same time and that no report includes yet.
	otherSendersFactor = 1.5
	// passesToFirstEvent is the mean number of passes from the arrival of a request to the first event of its response.
	passesToFirstEvent = 1.5
)

// Load is the estimated load and the availability of one instance of an upstream. It is safe for concurrent use.
type Load struct {
	availability
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
	cold          coldLimit
	limited       tokenBucket
	share         rateShare
	// limiter is the limit of the requests in flight at the upstream.
	limiter *concurrency.Limiter
}

// timedReport is a report with the time at which it was received.
type timedReport struct {
	hub.SentReport
	at time.Time
	// allotment is the part of the reported free slots that this process may use.
	allotment allotment
}

func newLoad(l *concurrency.Limiter) *Load {
	return &Load{availability: availability{created: time.Now()}, limiter: l}
}

// Report stores an upstream's report and estimates the load of other processes from it. It returns false if r is not
// newer than the last report of the same side process, as a copy that came over another process.
func (l *Load) Report(r hub.SentReport) bool {
	last := l.report.Load()
	if last != nil && last.Epoch == r.Epoch && last.Number >= r.Number {
		return false
	}
	running := l.running.Load()
	others := max(0, int64(r.Running+r.Waiting)-running)
	l.others.Store(others)
	l.othersWaiting.Store(max(0, int64(r.Waiting)-l.pendingRequests.Load()))
	next := &timedReport{SentReport: r, at: time.Now(), allotment: newAllotment(r.Address, r.Number, running, running+others)}
	l.report.Store(next)
	l.reportedAt.Store(l.now())
	if r.Leaving {
		l.Leaves()
	}
	l.reportRateLimit(r.RateLimit)
	l.reported(next, last)
	return true
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
func (l *Load) total() int { return l.totalWith(l.running.Load()) }

// totalWith is total for the given number of requests of this process.
func (l *Load) totalWith(running int64) int {
	n := int(running)
	if l.recentReport() != nil {
		n += int(l.others.Load())
	}
	return n
}

// prefillTime returns the estimated time that the upstream takes to process the prompts that wait there.
func (l *Load) prefillTime(e *hub.EngineModel) time.Duration {
	pace := 1.0
	if r := l.recentReport(); r != nil {
		pace = max(pace, r.Pace)
	}
	return time.Duration(pace * l.waitingTokens(e, otherSendersFactor) / e.ReadPerSecond * float64(time.Second))
}

// waitingTokens returns the estimated number of prompt tokens that wait at the upstream. Those that this process has sent
// are multiplied by factor.
func (l *Load) waitingTokens(e *hub.EngineModel, factor float64) float64 {
	tokens := factor * float64(l.pendingTokens.Load())
	if r := l.recentReport(); r != nil {
		others := float64(l.othersWaiting.Load()) * float64(e.UsualPrompt)
		tokens += max(0, others-time.Since(r.at).Seconds()*e.ReadPerSecond)
	}
	return tokens
}

// slowness returns the time by which the first event of a response comes later because the upstream reports that it is slower
// than its model: an engine completes a pass before it begins to read, and writes the first event in another one.
func (l *Load) slowness(e *hub.EngineModel) time.Duration {
	r := l.recentReport()
	if r == nil || r.Pace <= 1 {
		return 0
	}
	return time.Duration((r.Pace - 1) * passesToFirstEvent * float64(e.Pass))
}

// reportsStopped reports whether the upstream's side process has sent reports and none within maxReportAge.
func (l *Load) reportsStopped() bool { return l.report.Load() != nil && l.recentReport() == nil }

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

// hasSlot reports whether this process may send a further request to the upstream, which runs up to limit requests at once and
// has total according to this process. If the upstream sends reports, has used more than half of its slots and there are other
// entry processes, the process keeps to its allotment. With fewer requests the slots suffice for all, and a process without a part
// would wait for nothing.
func (l *Load) hasSlot(t Turn, limit int, running int64, total int) bool {
	r := l.recentReport()
	if r == nil || t.Entries <= 1 || 2*r.allotment.total <= int64(limit) {
		return total < limit
	}
	return total < limit+allowedWaiting && !r.allotment.exhausted(t, limit, running)
}

// loading reports whether, according to a recent report, the upstream is loading weights.
func (l *Load) loading() bool {
	r := l.recentReport()
	return r != nil && r.Busy
}
