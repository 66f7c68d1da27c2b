package main

import (
	"context"
	"slices"
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

// watchStalls keeps the times in which the process of the test, with its upstreams and callers, did not run, until ctx is done. Such a
// time is an unplanned disturbance of them all, which LOST excuses.
func (s *stops) watchStalls(ctx context.Context) {
	for from := time.Now(); hub.Sleep(ctx, stallCheck) == nil; from = time.Now() {
		if until := time.Now(); until.Sub(from) >= minStall {
			s.mu.Lock()
			s.stalls = append(s.stalls, interval{from, until})
			s.mu.Unlock()
		}
	}
}

// stalled reports whether a stall may have ended a request.
func (s *stops) stalled(e *stopEnding) bool {
	return slices.ContainsFunc(s.stalls, func(i interval) bool { return i.from.Before(e.ended) && e.ended.Before(i.until.Add(stallReach)) })
}

// stallTime returns the sum of all stalls.
func (s *stops) stallTime() time.Duration {
	sum := time.Duration(0)
	for _, i := range s.stalls {
		sum += i.until.Sub(i.from)
	}
	return sum
}
