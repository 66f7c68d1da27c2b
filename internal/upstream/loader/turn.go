package loader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

// turn decides whether an upstream may leave service to load the version with a root digest.
//
// Every side process orders the members of its group and failure domain in the same way. One may load
// when so many of those before it are known to serve the new version, or to be dead, that the ones
// still pending before it, together with those that are down anyway, stay within what the floor
// allows. Serving the new version is never taken back for the same rules, so stale knowledge can only
// make a process wait longer; no process has to be in charge of the order.
type turn struct {
	self         string
	group        string
	domain       string
	root         string
	floorPercent int
}

// granted reports whether self may load, and if not, how many others it waits for.
func (t turn) granted(members []catalog.Record) (bool, int) {
	peers := t.peers(members)
	allowed := allowedDown(len(peers), t.floorPercent)
	me := slices.IndexFunc(peers, func(m catalog.Record) bool { return m.Id == t.self })
	if me < 0 {
		return true, 0
	}
	down := 0
	for i, m := range peers {
		switch {
		case i < me && m.ServingRoot != t.root:
			down++
		case i > me && m.State != hub.StateServing:
			down++
		}
	}
	if down < allowed {
		return true, 0
	}
	return false, down - allowed + 1
}

// peers returns the living members of the group and failure domain in the order of their turns.
func (t turn) peers(members []catalog.Record) []catalog.Record {
	var peers []catalog.Record
	for _, m := range members {
		if m.Role != hub.RoleSide || m.Group != t.group || m.Domain != t.domain {
			continue
		}
		if m.Id == t.self || m.Alive() {
			peers = append(peers, m)
		}
	}
	slices.SortFunc(peers, func(a, b catalog.Record) int {
		return cmp.Compare(xxhash.Sum64String(t.root+a.Id), xxhash.Sum64String(t.root+b.Id))
	})
	return peers
}

// allowedDown returns how many of n upstreams may be out of service at once; it is at least 1, for
// otherwise a small group could never take a new version.
func allowedDown(n, floorPercent int) int {
	floor := (n*floorPercent + 99) / 100
	return max(1, n-floor)
}
