package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// MayStillStart reports whether the upstream may still get the request for which it was chosen, by what is known now: it is listed, is
// not leaving or out of service, has not asked for a pause, and serves a version that is not due to be replaced. It may be called in any
// goroutine.
func (c *Choice) MayStillStart() bool {
	if c.placement == nil {
		return true
	}
	snapshot := c.placement.options.Directory.Current()
	service := snapshot.Service(c.Upstream.Service)
	if service == nil {
		// A request outlives its service in the desired state.
		return true
	}
	u := listed(service, c.Upstream.Key())
	if u == nil || !c.placement.mayRun(snapshot, u, c.Load, &Requirements{}) || c.Load.pauseLeft() > 0 {
		return false
	}
	oldest := c.placement.oldestVersions(service, *c.placement.loads.Load(), time.Now())
	return c.Load.held(u) >= oldest.at(c.Load)
}

// listed returns the upstream of a service with the given key, or nil if it is not listed.
func listed(s *directory.Service, key directory.Key) *directory.Upstream {
	first, _ := slices.BinarySearchFunc(s.Upstreams, key.Id, func(u *directory.Upstream, id string) int { return cmp.Compare(u.Id, id) })
	for _, u := range s.Upstreams[first:] {
		if u.Id != key.Id {
			return nil
		}
		if u.Key() == key {
			return u
		}
	}
	return nil
}
