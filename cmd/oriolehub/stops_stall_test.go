package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// stallCheck is the interval at which the test looks whether its own process runs, minStall the shortest time that counts as one
	// in which it did not, and stallReach the time after a stall in which it explains an end.
	stallCheck = 10 * time.Millisecond
	minStall   = 150 * time.Millisecond
	stallReach = time.Second
	// maxStallShare divides the time of the test to give the longest sum of stalls with which it still proves something.
	maxStallShare = 4
)

// stallWatch keeps the times in which the process of the test, with its upstreams and callers, did not run. Such a time is an
// unplanned disturbance of them all.
type stallWatch struct {
	mu    sync.Mutex
	times []interval
}

// run watches until ctx is done.
func (w *stallWatch) run(ctx context.Context) {
	for from := time.Now(); hub.Sleep(ctx, stallCheck) == nil; from = time.Now() {
		if until := time.Now(); until.Sub(from) >= minStall {
			w.mu.Lock()
			w.times = append(w.times, interval{from, until})
			w.mu.Unlock()
		}
	}
}

// count returns the number of stalls and their sum.
func (w *stallWatch) count() (n int, sum time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.times {
		sum += i.until.Sub(i.from)
	}
	return len(w.times), sum
}

// stalled reports whether a stall may have ended a request, which LOST excuses.
func (s *stops) stalled(e *stopEnding) bool {
	s.stalls.mu.Lock()
	defer s.stalls.mu.Unlock()
	return slices.ContainsFunc(s.stalls.times, func(i interval) bool { return i.from.Before(e.ended) && e.ended.Before(i.until.Add(stallReach)) })
}
