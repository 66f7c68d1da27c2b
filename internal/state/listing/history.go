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
	entries  []Entry
	revision uint64
	// complete is the oldest revision since which all removed keys are kept.
	complete uint64
	// removed maps each removed key to the revision at which it was first missing.
	removed map[string]uint64
}

// Update sets the list to the value of a document with a higher revision. A value that is not a list sorted by key
// clears the history.
func (h *History) Update(value []byte, revision uint64) {
	entries, ok := sortedEntries(value)
	if !ok {
		*h = History{}
		return
	}
	if h.revision == 0 {
		*h = History{entries: entries, revision: revision, complete: revision, removed: map[string]uint64{}}
		return
	}
	for _, e := range h.entries {
		h.removed[e.Key] = revision
	}
	for _, e := range entries {
		delete(h.removed, e.Key)
	}
	h.entries, h.revision = entries, revision
	h.prune()
}

// Valid reports whether the last value was a list.
func (h *History) Valid() bool { return h.revision != 0 }

// sortedEntries returns the entries of a list, or false if the value is not a list sorted by key.
func sortedEntries(value []byte) ([]Entry, bool) {
	if len(value) == 0 || value[0] != '[' {
		return nil, false
	}
	entries, err := Decode(value)
	return entries, err == nil && slices.IsSortedFunc(entries, compare)
}

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
	if h.revision == 0 || base < h.complete {
		return nil, false
	}
	c := &changes{}
	for _, e := range h.entries {
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
