package topology

import (
	"fmt"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Names of the topologies, as given to Named.
const (
	NameSwarm  = "swarm"
	NameTree   = "tree"
	NameOrigin = "origin"
)

// Named returns the topology with a name.
func Named(name string) (hub.Topology, error) {
	switch name {
	case NameSwarm, "":
		return Swarm{}, nil
	case NameTree:
		return Tree{}, nil
	case NameOrigin:
		return Origin{}, nil
	}
	return nil, fmt.Errorf("unknown strategy %q: want %s, %s or %s", name, NameSwarm, NameTree, NameOrigin)
}

// Origin lets every process take every chunk from the origin.
type Origin struct{}

var _ hub.Topology = Origin{}

// Layout returns the layout for self.
func (Origin) Layout(_, _ string, _ []hub.Member, chunks int) hub.Layout {
	return hub.Layout{OriginChunks: [][]int{allChunks(chunks)}}
}

// Tree lets the first process take every chunk from the origin and each other one from its parent in a binary tree.
type Tree struct{}

var _ hub.Topology = Tree{}

// Layout returns the layout for self.
func (Tree) Layout(_, self string, participants []hub.Member, chunks int) hub.Layout {
	me := findMember(participants, self)
	switch {
	case me < 0:
		return hub.Layout{}
	case me == 0:
		return hub.Layout{OriginChunks: [][]int{allChunks(chunks)}}
	}
	return hub.Layout{Neighbours: []string{participants[(me-1)/2].Id}}
}

func allChunks(chunks int) []int {
	all := make([]int, chunks)
	for i := range all {
		all[i] = i
	}
	return all
}
