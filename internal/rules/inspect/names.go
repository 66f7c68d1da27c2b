package inspect

import "strings"

// Names is a set of places, by their names.
type Names struct {
	names map[string]bool
	// parents holds all places that contain one of the set.
	parents map[string]bool
}

// Add adds a place.
func (n *Names) Add(name string) {
	if n.names == nil {
		n.names, n.parents = map[string]bool{}, map[string]bool{}
	}
	n.names[name] = true
	for name != WholeFile {
		name = parent(name)
		n.parents[name] = true
	}
}

// Contains reports whether a place, or one that contains it, is in the set.
func (n *Names) Contains(name string) bool {
	for !n.names[name] {
		if name == WholeFile {
			return false
		}
		name = parent(name)
	}
	return true
}

// Touches reports whether a place, one that contains it or one within it is in the set.
func (n *Names) Touches(name string) bool { return n.parents[name] || n.Contains(name) }

// parent returns the place that directly contains the one with a name other than WholeFile.
func parent(name string) string {
	if i := strings.LastIndexAny(name, ".["); i > 0 {
		return name[:i]
	}
	return WholeFile
}
