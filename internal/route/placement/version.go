package placement

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// switchMargin is how long before the bound upstreams with an older version get nothing any more, for
	// requests on their way and for the time in which news of the version came here.
	switchMargin = 700 * time.Millisecond
	// lateMargin is the same where most upstreams have the newer version and one does not even have its content:
	// its link is slow, and what is sent to it arrives late.
	lateMargin = 2 * time.Second
	// startMargin is how long before the bound a request must have begun at an upstream with an older version.
	startMargin = 150 * time.Millisecond
)

// startBy returns when a request must have begun at an upstream that holds a version, or zero.
func (p *Placement) startBy(s *directory.Service, held uint64) time.Time {
	next, ok := s.Target.After(held)
	if s.Engine == nil || !ok {
		return time.Time{}
	}
	return next.Since.Add(p.options.SwitchBound() - startMargin)
}

// oldestVersions are the oldest versions that may answer now, 0 for any.
type oldestVersions struct {
	anywhere uint64
	// without is that at upstreams whose side process does not hold its content.
	without uint64
}

// at returns the oldest version that may answer at an upstream.
func (o oldestVersions) at(l *Load) uint64 {
	if o.without > o.anywhere && !l.hasContent(o.without) {
		return o.without
	}
	return o.anywhere
}

// oldestVersions returns the oldest versions of a service that may answer now.
func (p *Placement) oldestVersions(s *directory.Service, loads map[directory.Key]*Load, now time.Time) oldestVersions {
	if s.Engine == nil {
		return oldestVersions{}
	}
	bound := p.options.SwitchBound()
	o := oldestVersions{anywhere: s.Target.Due(now, bound-switchMargin), without: s.Target.Due(now, bound-lateMargin)}
	if o.without > o.anywhere && !mostHave(s, loads, o.without) {
		o.without = 0
	}
	return o
}

// mostHave reports whether most upstreams hold a version or its content.
func mostHave(s *directory.Service, loads map[directory.Key]*Load, version uint64) bool {
	have := 0
	for _, u := range s.Upstreams {
		if l := loads[u.Key()]; l != nil && (l.hasContent(version) || l.held(u) >= version) {
			have++
		}
	}
	return 2*have > len(s.Upstreams)
}
