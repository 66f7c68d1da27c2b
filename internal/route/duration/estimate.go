package duration

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minResponses is the number of responses from which a route has an estimate.
	minResponses = 20
	// expiry is the time without a response after which all earlier ones are forgotten.
	expiry = 30 * time.Second
	// halfLife is the time after which a response has half of the weight of a new one.
	halfLife = 5 * time.Second
	// maxGrowth limits the weight of a response relative to that of the one before it. Otherwise the estimate of a route with
	// few responses would follow single ones, because output lengths vary by more than their mean.
	maxGrowth = 16.0 / 15

	// maxTracked is the longest time that is told apart from longer ones.
	maxTracked = 2 * time.Minute
	// significantDigits is the precision of the histogram. With 1 a time is at most a sixteenth too high, and a histogram takes
	// 2 KiB.
	significantDigits = 1
	// minWeight is the weight of the first response. Weights have no fractions, so that it must be well above 1. Once the
	// weight of a response exceeds maxWeight, all are scaled down.
	minWeight = 1 << 10
	maxWeight = 1 << 30

	leastPercentile = 25
	mostPercentile  = 95
)

// estimate is the estimate of one service and route.
type estimate struct {
	// least is in nanoseconds, 0 if unknown.
	least atomic.Int64
	// lastAt is the time of the last response, in nanoseconds since Estimates.created.
	lastAt atomic.Int64
	probes probes

	mu sync.Mutex
	// times holds the times in milliseconds. Later responses count with higher weights, so that earlier ones need no change.
	times  *hdrhistogram.Histogram
	weight float64
	// responses is the number of responses since the last expiry, up to minResponses.
	responses int
}

// newEstimate returns an estimate without responses that expires as if the last one had been at now.
func newEstimate(now time.Duration) *estimate {
	e := &estimate{weight: minWeight, times: hdrhistogram.New(1, maxTracked.Milliseconds(), significantDigits)}
	e.lastAt.Store(int64(now))
	return e
}

// expired reports whether the last response is too long ago.
func (e *estimate) expired(now time.Duration) bool {
	return now-time.Duration(e.lastAt.Load()) >= expiry
}

// current returns least, or false if it is unknown or has expired.
func (e *estimate) current(now time.Duration) (time.Duration, bool) {
	d := time.Duration(e.least.Load())
	if d == 0 || e.expired(now) {
		return 0, false
	}
	return d, true
}

// most returns the time that few responses exceed, or false if it is unknown or has expired.
func (e *estimate) most(now time.Duration) (time.Duration, bool) {
	if _, known := e.current(now); !known {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.percentile(mostPercentile)), true
}

// add counts a response that took d and ended at now.
func (e *estimate) add(d, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.expired(now) {
		e.forget()
	}
	passed := max(0, now-time.Duration(e.lastAt.Load()))
	e.lastAt.Store(int64(now))
	e.weight *= min(maxGrowth, math.Exp2(float64(passed)/float64(halfLife)))
	if e.weight > maxWeight {
		e.scaleDown()
	}
	// The only error is a value out of range.
	_ = e.times.RecordValues(min(max(0, d), maxTracked).Milliseconds(), int64(e.weight))
	e.responses = min(e.responses+1, minResponses)
	if e.responses == minResponses {
		e.least.Store(e.percentile(leastPercentile))
	}
}

// forget removes all responses.
func (e *estimate) forget() {
	e.least.Store(0)
	e.times.Reset()
	e.weight, e.responses = minWeight, 0
}

// scaleDown divides all weights so that the next is minWeight.
func (e *estimate) scaleDown() {
	all := e.times.Export()
	for i, n := range all.Counts {
		all.Counts[i] = int64(float64(n) * minWeight / e.weight)
	}
	e.times, e.weight = hdrhistogram.Import(all), minWeight
}

// percentile returns a percentile of the times in nanoseconds, at least 1 ms.
func (e *estimate) percentile(percent float64) int64 {
	return int64(max(1, e.times.ValueAtPercentile(percent))) * int64(time.Millisecond)
}
