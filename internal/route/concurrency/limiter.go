package concurrency

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minInitial is the minimum of the initial limit. With one request at a time the limit would take a round longer to grow.
	minInitial = 2
	// floorShare is the share of the slots below which the limit never shrinks, and of which it is at least 1: an upstream
	// that gets no requests can't show that it has recovered.
	floorShare = 0.125
	// failuresToRestart is the number of consecutive failures from which the limit is at most the initial one.
	failuresToRestart = 2
	// latencySlack and intervalSlack are the excess over the expected time that is normal. Network delays vary by that much.
	latencySlack  = 25 * time.Millisecond
	intervalSlack = 10 * time.Millisecond
	// lateGrowthPause is the time after a late response or a slow interval during which reports don't raise the limit, since
	// they may be false. After failures it is failureGrowthPause for each consecutive one, if that is less: a lost connection may
	// not be the fault of the upstream.
	lateGrowthPause    = 2 * time.Second
	failureGrowthPause = 500 * time.Millisecond
)

// Limiter is the limit of the requests in flight at one instance of an upstream. The limit is compared with the estimated
// total of all entry processes. It is safe for concurrent use.
type Limiter struct {
	peers    *Peers
	upstream string
	slots    atomic.Int64
	// limit is the limit, infinite if the upstream gets all of its slots.
	limit atomicFloat
	// paceLimit is a further limit until paceUntil, in nanoseconds since Peers.created, because of the reported pace.
	paceLimit atomicFloat
	paceUntil atomic.Int64
	// paceReference is the pace that the other upstreams report, negative if unknown.
	paceReference atomicFloat
	// held is true if the limit was below the slots when it last changed.
	held    atomic.Bool
	permits permits

	mu       sync.Mutex
	latency  signal
	interval signal
	// pace is the pace in the last report, received at paceAt.
	pace   float64
	paceAt time.Time
	// failures is the number of consecutive failures.
	failures int
	// noGrowthUntil is the end of the time in which reports don't raise the limit. slowIntervalAt is the time of the last slow
	// interval, onTimeAt that of the last response that was on time.
	noGrowthUntil  time.Time
	slowIntervalAt time.Time
	onTimeAt       time.Time
	// changedAt is the time of the last change of the limit, heldSince the time since which held is true.
	changedAt time.Time
	heldSince time.Time
}

// NewLimiter returns a Limiter for an upstream with the given number of slots. The limit starts low if fresh is true,
// which says that the instance may have started a short time ago.
func (p *Peers) NewLimiter(upstream string, slots int, fresh bool) *Limiter {
	l := &Limiter{peers: p, upstream: upstream, latency: signal{slack: latencySlack}, interval: signal{slack: intervalSlack, minSlow: minSlow}}
	l.slots.Store(int64(slots))
	l.limit.Store(math.Inf(1))
	for _, f := range []*atomicFloat{&l.latency.reference, &l.interval.reference, &l.paceReference} {
		f.Store(-1)
	}
	if fresh {
		now := time.Now()
		p.update(now)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.restart(reasonListed, now)
		l.permits.grant(l.limitAt(now), int(p.entries.Load()), p.at(now))
	}
	return l
}

// SetSlots sets the number of slots.
func (l *Limiter) SetSlots(n int) { l.slots.Store(int64(n)) }

// Limit returns the number of requests that may be in flight at the upstream.
func (l *Limiter) Limit() int { return l.limitAt(time.Now()) }

// Held reports whether the limit is below the slots.
func (l *Limiter) Held() bool { return l.held.Load() && l.Limit() < int(l.slots.Load()) }

// Room reports whether the limit allows one more request, where total is the estimated number in flight. An upstream that gets
// all of its slots is not limited here. If most upstreams are below their slots, limits don't apply: there would be no room for
// what the limited ones don't get.
func (l *Limiter) Room(total int, now time.Time) bool {
	limit := l.limitAt(now)
	if limit >= int(l.slots.Load()) || l.peers.mostHeld() {
		return true
	}
	return total < limit && l.permits.left(l.peers.at(now))
}

// Started counts a request that is sent to the upstream, where total is the estimated number in flight before it.
func (l *Limiter) Started(total int, now time.Time) {
	if limit := l.limitAt(now); limit < int(l.slots.Load()) {
		l.permits.take(limit-total, int(l.peers.entries.Load()), l.peers.at(now))
	}
}

// FirstEvent compares the latency of a response with that of the other upstreams and changes the limit accordingly.
// explained is the part of it that follows from the prompts that were waiting and from that of the request, 0 for a plain
// service. It returns true if the limit has grown.
func (l *Limiter) FirstEvent(latency, explained time.Duration) (grown bool) {
	if !l.peers.settings.Enabled {
		return false
	}
	now := time.Now()
	l.peers.update(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency.minSlow = minSlow
	if explained == 0 {
		l.latency.minSlow = minSlowPlain
	}
	v := l.latency.observe(latency, explained, now)
	if v == late || v == slow {
		l.noGrowthUntil = now.Add(lateGrowthPause)
	} else {
		l.failures = 0
	}
	if v == onTime {
		l.onTimeAt = now
	}
	target := math.Inf(1)
	if v != onTime {
		target = l.share(l.latency.ratio)
	}
	if v == slow {
		l.shrink(target, reasonSlow, now)
	}
	if !l.slowIntervalAt.IsZero() && now.Sub(l.slowIntervalAt) < lateGrowthPause {
		target = min(target, l.share(l.interval.ratio))
	}
	// All entry processes see this round of responses and each of them only its part.
	return l.grow(float64(l.peers.entries.Load()), target, now)
}

// Succeeded counts a complete response whose time is not compared with others. It returns true if the limit has grown.
func (l *Limiter) Succeeded() (grown bool) {
	if !l.peers.settings.Enabled {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	return !l.growthPaused(now) && l.grow(float64(l.peers.entries.Load()), math.Inf(1), now)
}

// Interval compares the mean interval between the latest events of a response with that of the other upstreams.
func (l *Limiter) Interval(mean time.Duration) {
	if !l.peers.settings.Enabled {
		return
	}
	now := time.Now()
	l.peers.update(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.interval.observe(mean, 0, now) != slow {
		return
	}
	l.noGrowthUntil, l.slowIntervalAt = now.Add(lateGrowthPause), now
	l.shrink(l.share(l.interval.ratio), reasonSlow, now)
}

// Failed halves the limit; from failuresToRestart consecutive failures on it is at most the initial one.
func (l *Limiter) Failed() {
	if !l.peers.settings.Enabled {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	l.noGrowthUntil = now.Add(min(lateGrowthPause, time.Duration(l.failures)*failureGrowthPause))
	limit := max(l.floor(), l.current()/2)
	if l.failures >= failuresToRestart {
		limit = min(limit, l.initial())
	}
	l.shrink(limit, reasonFailures, now)
}

// limitAt returns the limit at the time now.
func (l *Limiter) limitAt(now time.Time) int {
	limit := l.current()
	if l.peers.at(now) < l.paceUntil.Load() {
		limit = min(limit, l.paceLimit.Load())
	}
	return max(1, int(math.Ceil(limit)))
}

// current returns the limit without that for the reported pace.
func (l *Limiter) current() float64 { return min(l.limit.Load(), float64(l.slots.Load())) }

// floor returns the value below which the limit does not shrink.
func (l *Limiter) floor() float64 { return max(1, floorShare*float64(l.slots.Load())) }

// initial returns the limit of an upstream that has just started or recovered.
func (l *Limiter) initial() float64 {
	slots := float64(l.slots.Load())
	return min(slots, max(minInitial, math.Ceil(l.peers.settings.InitialShare*slots)))
}

// share returns the number of requests that a server may run that takes ratio times as long as the others, if it is to
// be as loaded as they are.
func (l *Limiter) share(ratio float64) float64 {
	return max(l.floor(), float64(l.slots.Load())/max(1, ratio))
}

// restart sets the limit to the initial one if it is higher.
func (l *Limiter) restart(reason string, now time.Time) {
	if !l.peers.settings.Enabled {
		return
	}
	l.failures = 0
	l.shrink(l.initial(), reason, now)
}

// shrink lowers the limit to target.
func (l *Limiter) shrink(target float64, reason string, now time.Time) {
	if target >= l.current() {
		return
	}
	l.limit.Store(target)
	l.changedAt = now
	l.peers.monitor.shrunk()
	l.publish(reason, now)
}

// grow raises the limit by up to step, at most to twice its value or to target. It returns true if that is a change.
func (l *Limiter) grow(step, target float64, now time.Time) bool {
	limit := l.current()
	slots := float64(l.slots.Load())
	next := min(limit+min(step, limit), target)
	if limit >= slots || next <= limit {
		return false
	}
	if next >= slots {
		next = math.Inf(1)
	}
	l.limit.Store(next)
	l.changedAt = now
	l.peers.monitor.grew()
	l.publish("", now)
	return true
}

// publish logs whether the upstream gets all of its slots, if that has changed.
func (l *Limiter) publish(reason string, now time.Time) {
	limit, slots := l.limitAt(now), int(l.slots.Load())
	held := limit < slots
	if held == l.held.Load() {
		return
	}
	l.held.Store(held)
	if held {
		l.heldSince = now
		l.peers.monitor.held(l.upstream, reason, limit, slots)
		return
	}
	l.peers.monitor.full(l.upstream, slots, now.Sub(l.heldSince))
}

// growthPaused reports whether reports don't raise the limit because a response was late or an attempt failed recently.
func (l *Limiter) growthPaused(now time.Time) bool { return now.Before(l.noGrowthUntil) }
