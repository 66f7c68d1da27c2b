package topology

import (
	"fmt"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Names of the topologies accepted by Named.
const (
	NameSwarm  = "swarm"
	NameTree   = "tree"
	NameOrigin = "origin"
)

// Named returns the topology with the given name, Swarm for an empty name.
func Named(name string) (hub.Topology, error) {
	switch name {
	case NameSwarm, "":
		return Swarm{}, nil
	case NameTree:
		return Tree{}, nil
	case NameOrigin:
		return Origin{}, nil
	}
	return nil, fmt.Errorf("unknown strategy %q: must be %s, %s or %s", name, NameSwarm, NameTree, NameOrigin)
}

// Origin is the topology in which every process fetches every chunk from the origin.
type Origin struct{}

var _ hub.Topology = Origin{}

// Layout implements hub.Topology.
func (Origin) Layout(_, _ string, _ []hub.Member, chunks int) hub.Layout {
	return hub.Layout{OriginChunks: [][]int{allChunks(chunks)}}
}

// Tree is the topology of a binary tree: its root, the first process, fetches every chunk from the origin, and each
// other process fetches every chunk from its parent.
type Tree struct{}

var _ hub.Topology = Tree{}

// Layout implements hub.Topology.
func (Tree) Layout(_, self string, participants []hub.Member, chunks int) hub.Layout {
	selfIndex := findMember(participants, self)
	switch {
	case selfIndex < 0:
		return hub.Layout{}
	case selfIndex == 0:
		return hub.Layout{OriginChunks: [][]int{allChunks(chunks)}}
	}
	return hub.Layout{Neighbours: []string{participants[(selfIndex-1)/2].Id}}
}

func allChunks(chunks int) []int {
	all := make([]int, chunks)
	for i := range all {
		all[i] = i
	}
	return all
}
