package neighbour

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// regionSuccessors is the number of neighbours chosen as successors on the hash ring of the same region.
	regionSuccessors = 2
	// regionLinks is the number of additional neighbours in the same region, chosen by hash.
	regionLinks = 1
	// remoteLinks is the number of neighbours in other regions that are chosen by hash. A successor is added to them.
	remoteLinks = 1
)

// Choose returns the neighbours of self, at most five for any number of members. An entry process has as many again
// among the entry processes only, so that what these need at once reaches them without passing side processes.
//
// Two are the successors of self on the hash ring of its region, so that every process is monitored by two others.
// One more in the region and one in another region are chosen by a hash of the pair of IDs: these links keep the
// diameter of the graph small, while nearly all traffic stays within a region. The last is the successor of self on
// the hash ring of the members in other regions, which keeps the regions connected even if the links do not.
func Choose(self hub.Member, members []hub.Member) []hub.Member {
	chosen := choose(self, members)
	if self.Role != hub.RoleEntry {
		return chosen
	}
	entries := slices.DeleteFunc(slices.Clone(members), func(m hub.Member) bool { return m.Role != hub.RoleEntry })
	for _, m := range choose(self, entries) {
		chosen = appendNew(chosen, m)
	}
	return chosen
}

// choose returns the neighbours of self among members.
func choose(self hub.Member, members []hub.Member) []hub.Member {
	var sameRegion, otherRegions []hub.Member
	for _, m := range members {
		switch {
		case m.Id == self.Id || m.State == hub.StateGone:
		case m.Region == self.Region:
			sameRegion = append(sameRegion, m)
		default:
			otherRegions = append(otherRegions, m)
		}
	}
	chosen := successors(self, sameRegion, regionSuccessors)
	chosen = appendLinks(chosen, self, sameRegion, regionLinks)
	chosen = appendLinks(chosen, self, otherRegions, remoteLinks)
	for _, m := range successors(self, otherRegions, 1) {
		chosen = appendNew(chosen, m)
	}
	return chosen
}

// successors returns the n members that follow self on the hash ring, or all if there are fewer.
func successors(self hub.Member, members []hub.Member, n int) []hub.Member {
	selfHash := xxhash.Sum64String(self.Id)
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b hub.Member) int {
		// Unsigned subtraction wraps around at the largest hash and so gives the distance from self on the ring.
		return cmp.Compare(xxhash.Sum64String(a.Id)-selfHash, xxhash.Sum64String(b.Id)-selfHash)
	})
	return ring[:min(n, len(ring))]
}

// appendLinks appends up to n members that are not chosen yet, in ascending order of the hash of self's ID and theirs.
func appendLinks(chosen []hub.Member, self hub.Member, members []hub.Member, n int) []hub.Member {
	byHash := slices.Clone(members)
	slices.SortFunc(byHash, func(a, b hub.Member) int {
		return cmp.Compare(xxhash.Sum64String(self.Id+"/"+a.Id), xxhash.Sum64String(self.Id+"/"+b.Id))
	})
	limit := len(chosen) + n
	for _, m := range byHash {
		if len(chosen) >= limit {
			break
		}
		chosen = appendNew(chosen, m)
	}
	return chosen
}

// appendNew appends m unless it is chosen already.
func appendNew(chosen []hub.Member, m hub.Member) []hub.Member {
	if slices.ContainsFunc(chosen, func(c hub.Member) bool { return c.Id == m.Id }) {
		return chosen
	}
	return append(chosen, m)
}
