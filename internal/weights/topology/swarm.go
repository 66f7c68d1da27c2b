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
	// maxReaders bounds the members that take chunks from the origin: it resets connections beyond its limit, and
	// those of processes that lost power count until it notices. Their links carry several times what it sends.
	maxReaders = 12
)

// Swarm assigns each chunk to one of a few processes, which takes it from the origin, and in every other region to
// one that takes it over the region's link; within a region, processes follow neighbours at doubling distances
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
	readers := readersOf(root, all)
	origin := plan.Duties(root, self, readers, chunks)
	layout := hub.Layout{
		Neighbours:   ringNeighbours(root, self, near),
		OriginChunks: origin[:],
	}
	if len(near) == len(all) {
		return layout
	}
	owners := ownersOf(root, participants, readers, chunks)
	crossing := plan.Duties(root+"/"+region, self, near, chunks)
	crossing[0] = slices.DeleteFunc(crossing[0], func(chunk int) bool { return owners[chunk].Region == region })
	layout.RemoteChunks = crossing[:]
	layout.RemotePeers = foreignOwners(owners, crossing[0])
	return layout
}

// readersOf returns the members that take chunks from the origin, the first in hash order.
func readersOf(root string, ids []string) []string {
	readers := inHashOrder(root+"/origin/", ids)
	return readers[:min(maxReaders, len(readers))]
}

// ownersOf returns for every chunk the member that takes it from the origin.
func ownersOf(root string, participants []hub.Member, readers []string, chunks int) []*hub.Member {
	owners := make([]*hub.Member, chunks)
	for chunk, reader := range plan.Owners(root, readers, chunks) {
		owners[chunk] = &participants[findMember(participants, readers[reader])]
	}
	return owners
}

// inHashOrder returns the IDs in the order of their hashes behind a prefix.
func inHashOrder(prefix string, ids []string) []string {
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(prefix+a), xxhash.Sum64String(prefix+b))
	})
	return out
}

// foreignOwners returns the members that take the given chunks from the origin, up to maxCrossings.
func foreignOwners(owners []*hub.Member, duties []int) []string {
	var out []string
	for _, chunk := range duties {
		id := owners[chunk].Id
		if !slices.Contains(out, id) && len(out) < maxCrossings {
			out = append(out, id)
		}
	}
	return out
}

// ringNeighbours returns the members at doubling distances before and after self on a ring in hash order.
func ringNeighbours(root, self string, ids []string) []string {
	ring := inHashOrder(root, ids)
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
