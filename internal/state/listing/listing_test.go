package listing_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delta"
	"github.com/oriolehub/oriolehub/internal/state/listing"
)

// store is a set of keys, each with the revision of its last change.
type store struct {
	entries  map[string]listing.Entry
	revision uint64
}

func (s *store) value(t assert.TestingT) []byte {
	var entries []listing.Entry
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	value, err := listing.Encode(entries)
	assert.NilError(t, err)
	return value
}

func parse(t assert.TestingT, value []byte) *listing.List {
	l, err := listing.Parse(value)
	assert.NilError(t, err)
	return l
}

// Guards against changes that leave out a key, above all one that was removed or written again between two revisions.
func TestChangesSinceAnyRevisionLeadToTheList(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		s := &store{entries: map[string]listing.Entry{}}
		var h listing.History
		versions := map[uint64][]byte{}
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")) })
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				s.revision++
				k := key.Draw(t, "key")
				s.entries[k] = listing.Entry{Key: k, Value: fmt.Append(nil, s.revision), Revision: s.revision}
			},
			"remove": func(t *rapid.T) {
				s.revision++
				delete(s.entries, key.Draw(t, "key"))
			},
			"publish": func(t *rapid.T) {
				s.revision++
				h.Update(parse(t, s.value(t)), s.revision)
				versions[s.revision] = s.value(t)
			},
			"": func(t *rapid.T) {
				want := versions[s.revision]
				if want == nil {
					return
				}
				for base, value := range versions {
					encoded, ok := h.Since(base)
					assert.Assert(t, ok)
					got, err := parse(t, value).Apply(encoded, delta.Checksum(want))
					assert.NilError(t, err)
					assert.Equal(t, string(got.Value()), string(want))
				}
			},
		})
	})
}

// Guards against memory that grows with the keys that come and go.
func TestRemovedKeysAreBounded(t *testing.T) {
	var h listing.History
	for revision := uint64(1); revision <= 5000; revision++ {
		value, err := listing.Encode([]listing.Entry{{Key: fmt.Sprint("k", revision), Revision: revision}})
		assert.NilError(t, err)
		h.Update(parse(t, value), revision)
	}
	_, ok := h.Since(1)
	assert.Assert(t, !ok)
	_, ok = h.Since(4990)
	assert.Assert(t, ok)
}

func TestValuesThatAreNoListsHaveNoChanges(t *testing.T) {
	for _, value := range []string{"", "{}", "[", `[{"Key":"b"},{"Key":"a"}]`, "Share a 1 # b"} {
		l, err := listing.Parse([]byte(value))
		assert.Assert(t, err != nil, value)
		var h listing.History
		h.Update(l, 1)
		_, ok := h.Since(1)
		assert.Assert(t, !ok, value)
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte("[]"), []byte("\x28\xb5\x2f\xfd"))
	f.Fuzz(func(t *testing.T, value, encoded []byte) {
		l, err := listing.Parse(value)
		if err != nil {
			return
		}
		_, err = l.Apply(encoded, 1)
		assert.Assert(t, err != nil)
	})
}

func TestCorruptChangesAreRejected(t *testing.T) {
	_, err := parse(t, []byte("[]")).Apply([]byte("x"), 0)
	assert.ErrorIs(t, err, hub.ErrCorrupt)
}
