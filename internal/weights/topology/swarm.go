package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/plan"
)

const (
	// maxNeighbours bounds the neighbours in the own region.
	maxNeighbours = 12
	// maxCrossings bounds the members followed in other regions.
	maxCrossings = 16
)

// Swarm assigns each chunk to one process that takes it from the origin and, in every other region, to one
// that takes it over the region's link; within a region, processes follow neighbours at doubling distances
// on a ring, so that every process has as many followers as the others and any chunk is few steps away.
type Swarm struct{}

var _ hub.Topology = Swarm{}

// Layout returns the layout for self.
func (Swarm) Layout(root, self string, participants []hub.Member, chunks int) hub.Layout {
	me := findMember(participants, self)
	if me < 0 {
		return hub.Layout{}
	}
	region := participants[me].Region
	near := idsOf(participants, func(m *hub.Member) bool { return m.Region == region })
	all := idsOf(participants, func(*hub.Member) bool { return true })
	origin := plan.Duties(root, self, all, chunks)
	layout := hub.Layout{
		Neighbours: ringNeighbours(root, self, near),
		Origin:     origin[:],
	}
	if len(near) == len(all) {
		return layout
	}
	owners := plan.Owners(root, all, chunks)
	crossing := plan.Duties(root+"/"+region, self, near, chunks)
	crossing[0] = slices.DeleteFunc(crossing[0], func(chunk int) bool { return participants[owners[chunk]].Region == region })
	layout.Crossing = crossing[:]
	layout.Crossings = foreignOwners(participants, owners, crossing[0])
	return layout
}

// foreignOwners returns the members that take the given chunks from the origin, up to maxCrossings.
func foreignOwners(participants []hub.Member, owners, duties []int) []string {
	var out []string
	for _, chunk := range duties {
		id := participants[owners[chunk]].Id
		if !slices.Contains(out, id) && len(out) < maxCrossings {
			out = append(out, id)
		}
	}
	return out
}

// ringNeighbours returns the members at doubling distances before and after self on a ring in hash order.
func ringNeighbours(root, self string, ids []string) []string {
	ring := slices.Clone(ids)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(root+a), xxhash.Sum64String(root+b))
	})
	at := slices.Index(ring, self)
	var out []string
	add := func(i int) {
		id := ring[((i%len(ring))+len(ring))%len(ring)]
		if id != self && !slices.Contains(out, id) && len(out) < maxNeighbours {
			out = append(out, id)
		}
	}
	for distance := 1; distance <= len(ring)/2; distance *= 2 {
		add(at + distance)
		add(at - distance)
	}
	return out
}

func findMember(members []hub.Member, id string) int {
	return slices.IndexFunc(members, func(m hub.Member) bool { return m.Id == id })
}

func idsOf(members []hub.Member, want func(*hub.Member) bool) []string {
	var ids []string
	for i := range members {
		if want(&members[i]) {
			ids = append(ids, members[i].Id)
		}
	}
	return ids
}
