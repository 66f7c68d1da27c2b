package placement

import (
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// shareTTL is the time for which this process's share of a rate limit is used before it is determined again.
	shareTTL = 250 * time.Millisecond
	// shareBurst is the time in which unused requests of a share may accumulate.
	shareBurst = 250 * time.Millisecond
	// noShareWait is the time after which a caller should ask another entry process if this one has no share of the rate
	// limits of all upstreams that could run its request.
	noShareWait = 250 * time.Millisecond
	// maxTokenWait limits the time that callers are told to wait for a token.
	maxTokenWait = time.Minute
	// reportLag exceeds the age of a report on arrival, so that one does not end a rate limit that was named later.
	reportLag = time.Second
)

// namedRateLimit is a rate limit that an upstream has named.
type namedRateLimit struct {
	perSecond float64
	// at is the time at which the upstream was last known to name it, in nanoseconds since availability.created.
	at int64
	// reported is true if the upstream has named it in a report. Only then does a report without a limit end it.
	reported bool
}

// SetRateLimit records whether a response names a rate limit, and returns whether that is a change. sentAt is the time at
// which the request was sent. A response without a limit ends one only if its request was sent after the limit was last
// named, since responses on different connections overtake each other.
func (a *availability) SetRateLimit(limit hub.RateLimit, sentAt time.Time) (changed bool) {
	for {
		old := a.rateLimit.Load()
		next, ok := a.nextRateLimit(old, limit, sentAt)
		if !ok {
			return false
		}
		if a.rateLimit.CompareAndSwap(old, next) {
			return (old == nil) != (next == nil) || old != nil && old.perSecond != next.perSecond
		}
	}
}

// nextRateLimit returns what follows old after a response, or false if old stays in force.
func (a *availability) nextRateLimit(old *namedRateLimit, limit hub.RateLimit, sentAt time.Time) (*namedRateLimit, bool) {
	if limit.Named {
		return &namedRateLimit{perSecond: limit.PerSecond, at: a.now(), reported: old != nil && old.reported}, true
	}
	if old == nil || int64(sentAt.Sub(a.created)) <= old.at {
		return nil, false
	}
	return nil, true
}

// reportRateLimit records whether a report names a rate limit.
func (a *availability) reportRateLimit(limit hub.RateLimit) {
	if limit.Named {
		a.rateLimit.Store(&namedRateLimit{perSecond: limit.PerSecond, at: a.now(), reported: true})
		return
	}
	old := a.rateLimit.Load()
	if old != nil && old.reported && a.now()-old.at > int64(reportLag) {
		a.rateLimit.CompareAndSwap(old, nil)
	}
}

// RateLimit returns the rate limit that the upstream has named.
func (a *availability) RateLimit() hub.RateLimit {
	if l := a.rateLimit.Load(); l != nil {
		return hub.RateLimit{Named: true, PerSecond: l.perSecond}
	}
	return hub.RateLimit{}
}

// rateShare caches this process's share of the rate limit of an upstream.
type rateShare struct {
	current atomic.Pointer[timedShare]
}

type timedShare struct {
	of        float64
	perSecond float64
	at        time.Time
}

// get returns this process's share of a limit in requests per second. compute determines it.
func (s *rateShare) get(limit float64, now time.Time, compute func(limit float64) float64) float64 {
	if c := s.current.Load(); c != nil && c.of == limit && now.Sub(c.at) < shareTTL {
		return c.perSecond
	}
	share := compute(limit)
	s.current.Store(&timedShare{of: limit, perSecond: share, at: now})
	return share
}

// shareOf returns the refill of the bucket for this process's share of the rate limit that an upstream has named, or false
// if it has named none. A rate of 0 means that this process has no share.
func (p *Placement) shareOf(upstream string, l *Load, now time.Time) (refill, bool) {
	limit := l.RateLimit()
	if !limit.Named {
		return refill{}, false
	}
	rate := l.share.get(limit.PerSecond, now, func(limit float64) float64 { return p.options.RateShare(upstream, limit) })
	return refill{rate: rate, capacity: max(1, rate*shareBurst.Seconds())}, true
}

// rateLimitLeft returns the time until this process may send a request to an upstream by its share of the rate limit that
// the upstream has named, 0 if it may now.
func (p *Placement) rateLimitLeft(upstream string, l *Load, now time.Time) time.Duration {
	share, limited := p.shareOf(upstream, l, now)
	switch {
	case !limited:
		return 0
	case share.rate == 0:
		return noShareWait
	default:
		return l.limited.wait(share, now)
	}
}

// takeRateLimit counts a request to an upstream against this process's share of the rate limit, and reports whether the
// share allows it.
func (p *Placement) takeRateLimit(upstream string, l *Load, now time.Time) bool {
	share, limited := p.shareOf(upstream, l, now)
	return !limited || share.rate > 0 && l.limited.take(share, now)
}
