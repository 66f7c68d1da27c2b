package loader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

// turn decides whether an upstream may stop serving to load the version with the given root digest.
//
// Every side process sorts the living members of its group and failure domain into the same order. A member may load
// while the members before it that do not yet serve the new version, together with those after it that are out of
// service, number fewer than maxUnavailable. As long as the rules stay the same, a member that serves the new version
// does not go back to an older one. Outdated member records can therefore only delay a load, and no process has to
// coordinate the order.
type turn struct {
	self   string
	group  string
	domain string
	root   string
	// floorPercent is the minimum share of the upstreams that must stay in service, in percent.
	floorPercent int
}

// granted reports whether self may load, and if not, for how many other members it waits.
func (t turn) granted(members []catalog.Record) (bool, int) {
	peers := t.peers(members)
	allowed := maxUnavailable(len(peers), t.floorPercent)
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

// peers returns self and the living members of the group and failure domain in the order in which they load.
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

// maxUnavailable returns how many of n upstreams may be out of service at the same time. It is at least 1, since a
// small group could otherwise never load a new version.
func maxUnavailable(n, floorPercent int) int {
	floor := (n*floorPercent + 99) / 100
	return max(1, n-floor)
}
