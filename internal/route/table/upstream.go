package table

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// latencyWeight is the weight of one more latency in the recent one.
	latencyWeight = 0.2
	// failurePause is the time for which an upstream that failed counts as suspect.
	failurePause = 2 * time.Second
	// runningHalfLife is the age at which the load reported by a side process counts half.
	runningHalfLife = 60 * time.Millisecond
)

// Upstream is what an entry process knows of one upstream; it outlives the tables that name it.
type Upstream struct {
	Id          string
	Address     string
	Domain      string
	Region      string
	Incarnation uint64
	Locality    hub.Locality
	Hash        uint64

	limit    atomic.Int64
	reported atomic.Int64
	// reportedAt is when reported was learned, in Unix nanoseconds.
	reportedAt atomic.Int64
	inflight   atomic.Int64
	latency    atomic.Uint64
	// avoidUntil is in Unix nanoseconds.
	avoidUntil atomic.Int64
	suspected  atomic.Bool
}

// Begin counts an attempt in.
func (u *Upstream) Begin() { u.inflight.Add(1) }

// End counts an attempt out.
func (u *Upstream) End() { u.inflight.Add(-1) }

// ObserveLatency takes in the time to the first part of an answer.
func (u *Upstream) ObserveLatency(d time.Duration) {
	old := math.Float64frombits(u.latency.Load())
	next := d.Seconds()
	if old > 0 {
		next = old + latencyWeight*(next-old)
	}
	u.latency.Store(math.Float64bits(next))
}

// ObserveLoad takes in the limit and the requests in progress that the side process reported.
func (u *Upstream) ObserveLoad(limit, running int) {
	u.limit.Store(int64(limit))
	// What this process has in progress itself is known exactly; only the rest is taken from the report.
	u.reported.Store(max(0, int64(running)-u.inflight.Load()))
	u.reportedAt.Store(time.Now().UnixNano())
}

// ObserveFailure makes the upstream suspect for a while.
func (u *Upstream) ObserveFailure() {
	u.avoidUntil.Store(time.Now().Add(failurePause).UnixNano())
}

// Avoid keeps the upstream from being chosen for d.
func (u *Upstream) Avoid(d time.Duration) {
	u.avoidUntil.Store(time.Now().Add(d).UnixNano())
}

// candidate returns the upstream as the choice sees it at a time in Unix nanoseconds.
func (u *Upstream) candidate(now int64) hub.Candidate {
	age := now - u.reportedAt.Load()
	others := float64(u.reported.Load()) * math.Exp2(-float64(age)/float64(runningHalfLife))
	return hub.Candidate{
		Locality: u.Locality,
		Limit:    int(u.limit.Load()),
		Running:  int(u.inflight.Load()) + int(math.Round(others)),
		Latency:  math.Float64frombits(u.latency.Load()),
		Suspect:  now < u.avoidUntil.Load() || u.suspected.Load(),
		Hash:     u.Hash,
	}
}
