package concurrency

import "time"

const (
	// slowRatio is the ratio to the reference from which a smoothed time is slow. It is well above onTimeRatio, because queues
	// at healthy engines make single responses late.
	slowRatio = 2.0
	// onTimeRatio is the ratio to the reference up to which a time is normal.
	onTimeRatio = 1.5
	// maxRatio limits the effect of a single time.
	maxRatio = 4.0
	// ratioWeight is the weight of a new ratio in the moving average: two consecutive times of 2.5 times the reference exceed slowRatio.
	ratioWeight = 0.5
	// levelWeight is the weight of a new time in the level that the other upstreams are compared with.
	levelWeight = 0.2
	// minSlow is the number of consecutive late times that make an upstream slow. One is often chance. For plain services,
	// whose requests differ in cost by more than any model tells, it is minSlowPlain.
	minSlow      = 2
	minSlowPlain = 4
	// maxAge is the age up to which the last time is part of the reference of the others.
	maxAge = 5 * time.Second
)

// verdict is the result of the comparison of one measured time with the reference.
type verdict int

const (
	// unknown means that there is no reference, or that the time is neither normal nor slow.
	unknown verdict = iota
	onTime
	late
	slow
)

// signal holds one kind of measured time of an upstream and the reference, which is the level of the others. The fields
// other than reference are protected by the mutex of the Limiter.
type signal struct {
	// slack is the excess over the expected time up to which a time is always normal.
	slack time.Duration
	// minSlow is the number of consecutive late times from which the upstream is slow.
	minSlow int
	// level is the moving average of the times that the model does not explain, in seconds, as of at.
	level float64
	at    time.Time
	// ratio is the moving average of the ratio to the expected time, lateInRow the number of consecutive late times.
	ratio     float64
	lateInRow int
	// reference is the level of the other upstreams in seconds, negative if unknown.
	reference atomicFloat
}

// observe compares a measured time with the sum of explained, the part that follows from the request itself, and the
// reference.
func (s *signal) observe(took, explained time.Duration, now time.Time) verdict {
	rest := max(0, (took - explained).Seconds())
	if s.at.IsZero() || now.Sub(s.at) > maxAge {
		s.level, s.ratio, s.lateInRow = rest, 1, 0
	}
	s.level += levelWeight * (rest - s.level)
	s.at = now
	reference := s.reference.Load()
	if reference < 0 {
		return unknown
	}
	expected := explained.Seconds() + reference
	ratio := 1.0
	if took.Seconds() > expected+s.slack.Seconds() {
		ratio = min(maxRatio, took.Seconds()/max(expected, s.slack.Seconds()))
	}
	s.ratio += ratioWeight * (ratio - s.ratio)
	return s.judge(ratio)
}

// judge counts consecutive late times and returns the verdict on the latest one.
func (s *signal) judge(ratio float64) verdict {
	switch {
	case ratio <= onTimeRatio:
		s.lateInRow = 0
		return onTime
	case ratio < slowRatio:
		return unknown
	}
	s.lateInRow++
	if s.lateInRow >= s.minSlow && s.ratio >= slowRatio {
		return slow
	}
	return late
}

// recent reports whether the level may be part of the reference of other upstreams.
func (s *signal) recent(now time.Time) bool { return !s.at.IsZero() && now.Sub(s.at) <= maxAge }
