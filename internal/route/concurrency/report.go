package concurrency

import "time"

const (
	// slowPace is the ratio of the reported pace to that of the other upstreams from which an upstream is slow.
	slowPace = 1.25
	// paceAge is the time for which a reported pace counts.
	paceAge = 1500 * time.Millisecond
	// usedInterval is the time between two growths by reports of an upstream that uses at least half of its limit and
	// answers at the normal pace, about the time until a response begins; unusedInterval that of one that uses less.
	usedInterval   = 100 * time.Millisecond
	unusedInterval = 2 * time.Second
)

// Report is what a load report says about an upstream.
type Report struct {
	// InFlight is the number of requests there, Waiting the number of those that have not started.
	InFlight int
	Waiting  int
	// Total is the estimated number of requests in flight, including those that the report may lack.
	Total int
	// Pace is the ratio of its processing time to that of the model, 0 if unknown.
	Pace float64
	// Silence is the time since the last report if that was too long, else 0.
	Silence time.Duration
	// Loaded is true if the upstream has loaded weights since the last report.
	Loaded bool
}

// Reported changes the limit according to a load report.
func (l *Limiter) Reported(r Report) {
	if !l.peers.settings.Enabled {
		return
	}
	now := time.Now()
	l.peers.update(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace, l.paceAt = r.Pace, now
	switch {
	case r.Loaded:
		l.restart(reasonWeights, now)
	case r.Silence > 0 && now.Sub(l.onTimeAt) >= r.Silence:
		l.restart(reasonSilence, now)
	}
	slow := l.limitPace(now)
	if !slow && l.mayGrow(r, now) {
		l.grow(l.current(), float64(l.slots.Load()), now)
	}
	l.permits.grant(l.limitAt(now)-r.Total, int(l.peers.entries.Load()), l.peers.at(now))
}

// limitPace limits an upstream that reports a slower pace than the others, and reports whether it does.
func (l *Limiter) limitPace(now time.Time) bool {
	ratio := l.pace / max(1, l.paceReference.Load())
	if ratio < slowPace {
		l.paceUntil.Store(0)
		l.publish("", now)
		return false
	}
	l.paceLimit.Store(l.share(ratio))
	if l.peers.at(now) >= l.paceUntil.Load() {
		l.peers.monitor.shrunk()
	}
	l.paceUntil.Store(l.peers.at(now.Add(paceAge)))
	l.publish(reasonPace, now)
	return true
}

// mayGrow reports whether a report with a normal pace raises the limit. The requests of all entry processes together show
// it sooner than those of this one.
func (l *Limiter) mayGrow(r Report, now time.Time) bool {
	limit := l.current()
	if limit >= float64(l.slots.Load()) || 2*float64(r.Waiting) > limit || l.growthPaused(now) {
		return false
	}
	interval := unusedInterval
	if 2*float64(r.InFlight) >= limit {
		interval = usedInterval
	}
	return now.Sub(l.changedAt) >= interval
}

// latencyLevel returns the level of the latencies and whether it is recent.
func (l *Limiter) latencyLevel(now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency.level, l.latency.recent(now)
}

// intervalLevel returns the level of the intervals between events and whether it is recent.
func (l *Limiter) intervalLevel(now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interval.level, l.interval.recent(now)
}

// reportedPace returns the pace in the last report and whether that is recent.
func (l *Limiter) reportedPace(now time.Time) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pace, l.pace > 0 && now.Sub(l.paceAt) < paceAge
}
