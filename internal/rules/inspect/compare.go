package inspect

import (
	"fmt"
	"strings"
)

// Change is the kind of a Difference.
type Change string

// Kinds of a difference.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is a value that differs from the desired state in force.
type Difference struct {
	Change Change
	// Place is the path of the value. Entries of lists are given by their names where these are unique.
	Place string
	// Line is the line of the value in the new file, or for a removed one in that with the desired state in force.
	Line int
	// Old and New are the values; both are empty for objects, lists and secrets.
	Old string `json:",omitzero"`
	New string `json:",omitzero"`
	// Detail tells how many secrets were added and removed.
	Detail string `json:",omitzero"`
}

// compare returns the differences in the order of the new file, in each object or list followed by the removed values.
func compare(old, updated *Node) []Difference {
	c := comparison{differences: []Difference{}}
	c.compare("", old, updated)
	return c.differences
}

// comparison collects differences.
type comparison struct {
	differences []Difference
}

func (c *comparison) compare(place string, old, updated *Node) {
	switch {
	case old.Kind != updated.Kind || old.Kind == Scalar:
		if old.Kind != updated.Kind || old.Text != updated.Text {
			c.add(Changed, place, updated.Line, old, updated)
		}
	case updated.Kind == Set && updated.Secret:
		c.compareSecrets(place, old, updated)
	default:
		c.compareChildren(place, old, updated)
	}
}

// compareChildren compares the fields of two objects or the entries of two lists by their IDs.
func (c *comparison) compareChildren(place string, old, updated *Node) {
	before := byID(old)
	for _, n := range updated.Children {
		at := join(place, n.Id)
		o := before[n.Id]
		switch {
		case o != nil:
			c.compare(at, o, n)
		case n.Kind == Set:
			c.compare(at, &Node{Kind: Set}, n)
		default:
			c.add(Added, at, n.Line, nil, n)
		}
	}
	after := byID(updated)
	for _, o := range old.Children {
		at := join(place, o.Id)
		switch {
		case after[o.Id] != nil:
		case o.Kind == Set:
			c.compare(at, o, &Node{Kind: Set, Secret: o.Secret, Line: o.Line})
		default:
			c.add(Removed, at, o.Line, o, nil)
		}
	}
}

// compareSecrets tells how many values of a list were added and removed.
func (c *comparison) compareSecrets(place string, old, updated *Node) {
	before, after := byID(old), byID(updated)
	added, removed := 0, 0
	for id := range after {
		if before[id] == nil {
			added++
		}
	}
	for id := range before {
		if after[id] == nil {
			removed++
		}
	}
	if added+removed > 0 {
		c.differences = append(c.differences, Difference{Change: Changed, Place: place, Line: updated.Line, Detail: fmt.Sprintf("%d added, %d removed", added, removed)})
	}
}

func (c *comparison) add(change Change, place string, line int, old, updated *Node) {
	d := Difference{Change: change, Place: place, Line: line}
	if old != nil && !old.Secret {
		d.Old = old.Text
	}
	if updated != nil && !updated.Secret {
		d.New = updated.Text
	}
	c.differences = append(c.differences, d)
}

func byID(n *Node) map[string]*Node {
	out := make(map[string]*Node, len(n.Children))
	for _, child := range n.Children {
		out[child.Id] = child
	}
	return out
}

// join returns the place of a child. IDs of list entries are in brackets.
func join(place, id string) string {
	if place == "" || strings.HasPrefix(id, "[") {
		return place + id
	}
	return place + "." + id
}
