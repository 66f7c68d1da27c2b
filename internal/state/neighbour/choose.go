package neighbour

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// regionSuccessors is the number of successors on the ring of the own region.
	regionSuccessors = 2
	// regionLinks is the number of further neighbours in the own region.
	regionLinks = 1
	// remoteLinks is the number of neighbours in other regions.
	remoteLinks = 1
)

// Choose returns the neighbours of self among the members, at most five whatever their number.
//
// Two are the successors on a ring of the own region in hash order, so that every process is watched by
// two others. One more in the region and one outside are chosen by a hash of the pair; they make the
// graph one of few steps, while nearly all traffic stays off the links between regions. One successor
// on a ring of all members keeps the regions joined even where the hashes would not.
func Choose(self hub.Member, members []hub.Member) []hub.Member {
	var near, far []hub.Member
	for _, m := range members {
		switch {
		case m.Id == self.Id || m.State == hub.StateGone:
		case m.Region == self.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	chosen := successors(self, near, regionSuccessors)
	chosen = appendLinks(chosen, self, near, regionLinks)
	chosen = appendLinks(chosen, self, far, remoteLinks)
	for _, m := range successors(self, far, 1) {
		chosen = appendNew(chosen, m)
	}
	return chosen
}

// successors returns the n members after self on a ring in hash order.
func successors(self hub.Member, members []hub.Member, n int) []hub.Member {
	at := xxhash.Sum64String(self.Id)
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b hub.Member) int {
		// The distance on the ring wraps around at the largest hash.
		return cmp.Compare(xxhash.Sum64String(a.Id)-at, xxhash.Sum64String(b.Id)-at)
	})
	return ring[:min(n, len(ring))]
}

// appendLinks adds n members with the lowest hash of the pair that are not chosen yet.
func appendLinks(chosen []hub.Member, self hub.Member, members []hub.Member, n int) []hub.Member {
	byHash := slices.Clone(members)
	slices.SortFunc(byHash, func(a, b hub.Member) int {
		return cmp.Compare(xxhash.Sum64String(self.Id+"/"+a.Id), xxhash.Sum64String(self.Id+"/"+b.Id))
	})
	want := len(chosen) + n
	for _, m := range byHash {
		if len(chosen) >= want {
			break
		}
		chosen = appendNew(chosen, m)
	}
	return chosen
}

func appendNew(chosen []hub.Member, m hub.Member) []hub.Member {
	if slices.ContainsFunc(chosen, func(c hub.Member) bool { return c.Id == m.Id }) {
		return chosen
	}
	return append(chosen, m)
}
