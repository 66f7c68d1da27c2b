package placement

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// switchMargin is the time before the end of SwitchBound at which upstreams with an older version receive no more
	// requests. It allows for requests in transit and for the delay with which the new target reached this process.
	switchMargin = 700 * time.Millisecond
	// slowLinkMargin replaces switchMargin for an upstream whose side process has not fetched the newer version while
	// most upstreams have: its network link is slow, so requests sent to it arrive late.
	slowLinkMargin = 2 * time.Second
	// startMargin is the time before the end of SwitchBound by which a response of an older version must have started.
	startMargin = 150 * time.Millisecond
)

// startBy returns the time by which the response of an upstream that serves the version held must have started, or zero
// if there is no such limit. An upstream that serves no version refuses its requests itself.
func (p *Placement) startBy(s *directory.Service, held uint64) time.Time {
	next, ok := s.Target.After(held)
	if s.Engine == nil || held == 0 || !ok {
		return time.Time{}
	}
	return next.Since.Add(p.options.SwitchBound() - startMargin)
}

// oldestVersions holds the oldest versions that may still serve requests, 0 for any.
type oldestVersions struct {
	// anywhere applies to all upstreams.
	anywhere uint64
	// ifNotFetched applies to upstreams whose side process has not fetched this version.
	ifNotFetched uint64
}

// at returns the oldest version that may still serve requests at the upstream with load l.
func (o oldestVersions) at(l *Load) uint64 {
	if o.ifNotFetched > o.anywhere && !l.hasFetched(o.ifNotFetched) {
		return o.ifNotFetched
	}
	return o.anywhere
}

// oldestVersions returns the oldest versions of a service that may still serve requests at the time now.
func (p *Placement) oldestVersions(s *directory.Service, loads map[directory.Key]*Load, now time.Time) oldestVersions {
	if s.Engine == nil {
		return oldestVersions{}
	}
	bound := p.options.SwitchBound()
	o := oldestVersions{anywhere: s.Target.Due(now, bound-switchMargin), ifNotFetched: s.Target.Due(now, bound-slowLinkMargin)}
	if o.ifNotFetched > o.anywhere && !mostHave(s, loads, o.ifNotFetched) {
		o.ifNotFetched = 0
	}
	return o
}

// mostHave reports whether more than half of the service's upstreams serve or have fetched a version or a newer one.
func mostHave(s *directory.Service, loads map[directory.Key]*Load, version uint64) bool {
	have := 0
	for _, u := range s.Upstreams {
		if l := loads[u.Key()]; l != nil && (l.hasFetched(version) || l.held(u) >= version) {
			have++
		}
	}
	return 2*have > len(s.Upstreams)
}
