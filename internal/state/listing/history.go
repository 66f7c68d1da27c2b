package listing

import (
	"cmp"
	"maps"
	"slices"
)

// maxRemoved is the maximum number of removed keys that a History keeps.
const maxRemoved = 1024

// History keeps the current revision of a list and the keys removed lately, from which it derives the changes since
// any earlier revision. The zero value has no list.
type History struct {
	list     *List
	revision uint64
	// complete is the oldest revision since which all removed keys are kept.
	complete uint64
	// removed maps each removed key to the revision at which it was first missing.
	removed map[string]uint64
}

// Update sets the list to one with a higher revision. nil clears the history.
func (h *History) Update(l *List, revision uint64) {
	if l == nil {
		*h = History{}
		return
	}
	if h.list == nil {
		*h = History{list: l, revision: revision, complete: revision, removed: map[string]uint64{}}
		return
	}
	for _, key := range missing(h.list.entries, l.entries) {
		h.removed[key] = revision
	}
	for _, key := range missing(l.entries, h.list.entries) {
		delete(h.removed, key)
	}
	h.list, h.revision = l, revision
	h.prune()
}

// missing returns the keys of the entries in a that are not in b. Both are sorted by key.
func missing(a, b []Entry) []string {
	var out []string
	at := 0
	for i := range a {
		for at < len(b) && b[at].Key < a[i].Key {
			at++
		}
		if at == len(b) || b[at].Key != a[i].Key {
			out = append(out, a[i].Key)
		}
	}
	return out
}

// List returns the current list, nil if there is none.
func (h *History) List() *List { return h.list }

// prune drops the keys that were removed first if there are too many.
func (h *History) prune() {
	if len(h.removed) <= maxRemoved {
		return
	}
	keys := slices.SortedFunc(maps.Keys(h.removed), func(a, b string) int { return cmp.Compare(h.removed[a], h.removed[b]) })
	for _, key := range keys[:len(keys)-maxRemoved/2] {
		h.complete = h.removed[key]
		delete(h.removed, key)
	}
}

// Since returns the encoded changes since the base revision, or false if they are not known.
func (h *History) Since(base uint64) ([]byte, bool) {
	if h.list == nil || base < h.complete {
		return nil, false
	}
	c := &changes{}
	for _, e := range h.list.entries {
		if e.Revision > base {
			c.Changed = append(c.Changed, e)
		}
	}
	for key, revision := range h.removed {
		if revision > base {
			c.Removed = append(c.Removed, key)
		}
	}
	encoded, err := c.encode()
	return encoded, err == nil
}
