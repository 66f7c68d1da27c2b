package exchange

import (
	"math"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// needsAges reports whether peers may know greater ages of target versions than this process.
func (c *Client) needsAges() bool {
	return c.options.TargetAges != nil && c.options.TargetAges.NeedsAges()
}

// ageUnit is the unit to which ages in messages are rounded up.
const ageUnit = time.Millisecond

// learnAges takes the ages in the reply to a request that was sent at the given time.
func (c *Client) learnAges(reply *message.ExchangeReply, sent time.Time) {
	if c.options.TargetAges != nil && len(reply.GetTargetAges()) > 0 {
		c.options.TargetAges.LearnAges(fromTargetAges(reply.GetTargetAges()), sent, time.Now().Add(ageUnit))
	}
}

// agesFor returns the ages of target versions for the sender of a request: all that matter if it needs them or has just started,
// else those of recent versions, of which it may have heard later than this process.
func (s *Server) agesFor(r *message.ExchangeRequest) []*message.TargetAge {
	switch {
	case s.ages == nil:
		return nil
	case r.GetKnownEpoch() == 0 || r.GetNeedsAges():
		return toTargetAges(s.ages.Ages())
	default:
		return toTargetAges(s.ages.RecentAges())
	}
}

func toTargetAges(ages []hub.TargetAge) []*message.TargetAge {
	var out []*message.TargetAge
	for _, a := range ages {
		out = append(out, &message.TargetAge{Model: a.Model, Version: a.Version, AgeMs: toMilliseconds(a.Age), Assumed: a.Assumed})
	}
	return out
}

func fromTargetAges(ages []*message.TargetAge) []hub.TargetAge {
	var out []hub.TargetAge
	for _, a := range ages {
		out = append(out, hub.TargetAge{
			Model: a.GetModel(), Version: a.GetVersion(), Age: time.Duration(a.GetAgeMs()) * ageUnit, Assumed: a.GetAssumed(),
		})
	}
	return out
}

// toMilliseconds returns d in milliseconds, rounded up.
func toMilliseconds(d time.Duration) uint32 {
	ms := (max(0, d) + ageUnit - 1) / ageUnit
	return uint32(min(ms, math.MaxUint32))
}
