package table

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.2
	// suspectDuration is the time for which an upstream is suspect after a failure.
	suspectDuration = 2 * time.Second
	// reportHalfLife is the half-life with which the load reported by a side process is discounted as it ages.
	reportHalfLife = 60 * time.Millisecond
)

// Upstream is the state of one upstream in an entry process. Successive tables share it.
type Upstream struct {
	Id          string
	Address     string
	Domain      string
	Region      string
	Incarnation uint64
	Locality    hub.Locality
	Hash        uint64

	// limit is the maximum number of concurrent requests, as last reported.
	limit atomic.Int64
	// reportedRunning is the number of requests in progress of other entry processes, as last reported.
	reportedRunning atomic.Int64
	// reportedAt is the time of that report in Unix nanoseconds.
	reportedAt atomic.Int64
	// inflight is the number of attempts in progress of this process.
	inflight atomic.Int64
	// latency holds the bits of the moving average in seconds, a float64; 0 before the first sample.
	latency atomic.Uint64
	// avoidUntil is the time until which the upstream is suspect, in Unix nanoseconds.
	avoidUntil atomic.Int64
	// suspected is true if another process could not reach the upstream.
	suspected atomic.Bool
}

// Begin records the start of an attempt.
func (u *Upstream) Begin() { u.inflight.Add(1) }

// End records the end of an attempt.
func (u *Upstream) End() { u.inflight.Add(-1) }

// ObserveLatency adds the time to the head of a response to the moving average.
func (u *Upstream) ObserveLatency(d time.Duration) {
	old := math.Float64frombits(u.latency.Load())
	next := d.Seconds()
	if old > 0 {
		next = old + latencyWeight*(next-old)
	}
	u.latency.Store(math.Float64bits(next))
}

// ObserveLoad records the limit and the number of requests in progress that the side process has reported.
func (u *Upstream) ObserveLoad(limit, running int) {
	u.limit.Store(int64(limit))
	// The number of attempts of this process is exact; the report is used only for the requests of the others.
	u.reportedRunning.Store(max(0, int64(running)-u.inflight.Load()))
	u.reportedAt.Store(time.Now().UnixNano())
}

// ObserveFailure makes the upstream suspect for suspectDuration.
func (u *Upstream) ObserveFailure() {
	u.avoidUntil.Store(time.Now().Add(suspectDuration).UnixNano())
}

// Avoid makes the upstream suspect for d.
func (u *Upstream) Avoid(d time.Duration) {
	u.avoidUntil.Store(time.Now().Add(d).UnixNano())
}

// candidate returns the state of the upstream at a time in Unix nanoseconds.
func (u *Upstream) candidate(now int64) hub.Candidate {
	age := now - u.reportedAt.Load()
	others := float64(u.reportedRunning.Load()) * math.Exp2(-float64(age)/float64(reportHalfLife))
	return hub.Candidate{
		Locality: u.Locality,
		Limit:    int(u.limit.Load()),
		Running:  int(u.inflight.Load()) + int(math.Round(others)),
		Latency:  math.Float64frombits(u.latency.Load()),
		Suspect:  now < u.avoidUntil.Load() || u.suspected.Load(),
		Hash:     u.Hash,
	}
}
