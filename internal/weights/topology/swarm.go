package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/plan"
)

const (
	// maxNeighbours is the maximum number of neighbours in the same region.
	maxNeighbours = 12
	// maxRemotePeers is the maximum number of peers in other regions.
	maxRemotePeers = 16
	// maxOriginReaders is the maximum number of members that fetch chunks from the origin. The origin resets
	// connections beyond its limit, and connections of processes that lost power count towards the limit until the
	// origin detects the loss. The links of this many members together have several times the origin's bandwidth.
	maxOriginReaders = 12
)

// Swarm is the topology in which each chunk is assigned to one of a few processes, its owner, which fetches it from the
// origin, and in every region other than the owner's to one process, which fetches it from the owner. Within a region,
// processes fetch chunks from neighbours at doubling distances on a ring, so that every process serves as many others
// as any other process does and a chunk reaches all of them within a few hops.
type Swarm struct{}

var _ hub.Topology = Swarm{}

// Layout implements hub.Topology.
func (Swarm) Layout(root, self string, participants []hub.Member, chunks int) hub.Layout {
	selfIndex := findMember(participants, self)
	if selfIndex < 0 {
		return hub.Layout{}
	}
	region := participants[selfIndex].Region
	sameRegion := idsOf(participants, func(m *hub.Member) bool { return m.Region == region })
	all := idsOf(participants, func(*hub.Member) bool { return true })
	readers := originReaders(root, all)
	origin := plan.Assignments(root, self, readers, chunks)
	layout := hub.Layout{
		Neighbours:   ringNeighbours(root, self, sameRegion),
		OriginChunks: origin[:],
	}
	if len(sameRegion) == len(all) {
		return layout
	}
	owners := chunkOwners(root, participants, readers, chunks)
	remote := plan.Assignments(root+"/"+region, self, sameRegion, chunks)
	remote[0] = slices.DeleteFunc(remote[0], func(chunk int) bool { return owners[chunk].Region == region })
	layout.RemoteChunks = remote[:]
	layout.RemotePeers = remoteOwners(owners, remote[0])
	return layout
}

// originReaders returns the members that fetch chunks from the origin: the first ones in hash order.
func originReaders(root string, ids []string) []string {
	readers := sortedByHash(root+"/origin/", ids)
	return readers[:min(maxOriginReaders, len(readers))]
}

// chunkOwners returns for every chunk the member that fetches it from the origin.
func chunkOwners(root string, participants []hub.Member, readers []string, chunks int) []*hub.Member {
	owners := make([]*hub.Member, chunks)
	for chunk, reader := range plan.Owners(root, readers, chunks) {
		owners[chunk] = &participants[findMember(participants, readers[reader])]
	}
	return owners
}

// sortedByHash returns the IDs sorted by the hash of prefix and ID.
func sortedByHash(prefix string, ids []string) []string {
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(prefix+a), xxhash.Sum64String(prefix+b))
	})
	return out
}

// remoteOwners returns the owners of the given chunks, at most maxRemotePeers.
func remoteOwners(owners []*hub.Member, chunks []int) []string {
	var out []string
	for _, chunk := range chunks {
		id := owners[chunk].Id
		if !slices.Contains(out, id) && len(out) < maxRemotePeers {
			out = append(out, id)
		}
	}
	return out
}

// ringNeighbours returns the members at distances of 1, 2, 4 and so on before and after self on a ring in hash order,
// at most maxNeighbours.
func ringNeighbours(root, self string, ids []string) []string {
	ring := sortedByHash(root, ids)
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

func idsOf(members []hub.Member, match func(*hub.Member) bool) []string {
	var ids []string
	for i := range members {
		if match(&members[i]) {
			ids = append(ids, members[i].Id)
		}
	}
	return ids
}
