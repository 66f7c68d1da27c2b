package listing

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delta"
)

// List is an immutable list of entries sorted by key. It keeps the encoded form of each entry, so that a change costs
// what its entries cost and not what the list costs.
type List struct {
	entries []Entry
	// encoded holds the encoded form of each entry, value that of the list.
	encoded [][]byte
	value   []byte
}

// New returns the list of the given entries in the order of their keys.
func New(entries []Entry) (*List, error) {
	sorted := slices.SortedFunc(slices.Values(entries), compare)
	l := &List{entries: sorted, encoded: make([][]byte, len(sorted))}
	for i := range sorted {
		data, err := json.Marshal(&sorted[i])
		if err != nil {
			return nil, fmt.Errorf("encode list: %w", err)
		}
		l.encoded[i] = data
	}
	l.value = join(l.encoded)
	return l, nil
}

// Parse returns the list with the given value, or an error if that is not a list sorted by key.
func Parse(value []byte) (*List, error) {
	entries, err := Decode(value)
	if err != nil {
		return nil, err
	}
	if len(value) == 0 || value[0] != '[' || !slices.IsSortedFunc(entries, compare) {
		return nil, fmt.Errorf("decode list: %w: not a list sorted by key", hub.ErrCorrupt)
	}
	l, err := New(entries)
	if err != nil {
		return nil, err
	}
	l.value = value
	return l, nil
}

// Entries returns the entries; they must not be modified.
func (l *List) Entries() []Entry { return l.entries }

// Value returns the encoded list, which must not be modified.
func (l *List) Value() []byte { return l.value }

// Apply returns the list after the changes that History.Since has encoded, given that l is the list at the base revision
// or at any later one. It returns hub.ErrCorrupt if the changes can't be decoded or the checksum of the value does not
// match.
func (l *List) Apply(changed []byte, checksum uint64) (*List, error) {
	c, err := decodeChanges(changed)
	if err != nil {
		return nil, err
	}
	more, err := New(c.Changed)
	if err != nil {
		return nil, err
	}
	removed := make(map[string]bool, len(c.Removed))
	for _, key := range c.Removed {
		removed[key] = true
	}
	out := l.merge(more, removed)
	if delta.Checksum(out.value) != checksum {
		return nil, fmt.Errorf("apply changes of a list: checksum of the value does not match: %w", hub.ErrCorrupt)
	}
	return out, nil
}

// merge returns the entries of l without the removed keys, with those of more in place of the ones with the same key.
func (l *List) merge(more *List, removed map[string]bool) *List {
	out := &List{}
	add := func(from *List, i int) {
		out.entries = append(out.entries, from.entries[i])
		out.encoded = append(out.encoded, from.encoded[i])
	}
	next := 0
	for i := range l.entries {
		key := l.entries[i].Key
		for next < len(more.entries) && more.entries[next].Key < key {
			add(more, next)
			next++
		}
		replaced := next < len(more.entries) && more.entries[next].Key == key
		if !replaced && !removed[key] {
			add(l, i)
		}
	}
	for ; next < len(more.entries); next++ {
		add(more, next)
	}
	out.value = join(out.encoded)
	return out
}

// join returns the encoded list of encoded entries.
func join(encoded [][]byte) []byte {
	return slices.Concat([]byte("["), bytes.Join(encoded, []byte(",")), []byte("]"))
}
