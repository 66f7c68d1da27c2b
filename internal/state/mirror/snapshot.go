package mirror

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Names of the documents that a mirror publishes. The configuration document holds the value of one key, the others
// hold a list of Entry as JSON.
const (
	DocumentConfiguration = "Configuration"
	DocumentDirectives    = "Directives"
	DocumentUpstreams     = "Upstreams"
)

// Entry is one key of the store within a document.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Decode returns the entries in the value of a document, none if the value is empty.
func Decode(value []byte) ([]Entry, error) {
	var out []Entry
	if len(value) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(value, &out); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	return out, nil
}

// keys is the state of all keys with one prefix at a revision of the store.
type keys struct {
	items map[string]hub.Item
	// revision is the store revision.
	revision uint64
}

// replace sets the state to a listing of all keys.
func (k *keys) replace(l hub.Listing) {
	k.items = make(map[string]hub.Item, len(l.Items))
	k.revision = l.Revision
	for _, i := range l.Items {
		k.items[i.Key] = i
	}
}

// apply applies changes, ignoring those that are older than the known state of their key.
func (k *keys) apply(l hub.Listing) {
	for _, i := range l.Items {
		if known, ok := k.items[i.Key]; ok && known.Revision > i.Revision {
			continue
		}
		if i.Deleted {
			delete(k.items, i.Key)
			continue
		}
		k.items[i.Key] = i
	}
	k.revision = max(k.revision, l.Revision)
}

// encode returns the entries whose keys include accepts as JSON, sorted by key.
func (k *keys) encode(include func(key string) bool) ([]byte, error) {
	out := []Entry{}
	for _, i := range k.items {
		if include(i.Key) {
			out = append(out, Entry{Key: i.Key, Value: i.Value, Revision: i.Revision})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return data, nil
}

// adopt replaces the keys that include accepts by the entries of a document with a higher revision.
func (k *keys) adopt(entries []Entry, revision uint64, include func(key string) bool) {
	for key := range k.items {
		if include(key) {
			delete(k.items, key)
		}
	}
	for _, e := range entries {
		k.items[e.Key] = hub.Item{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	k.revision = revision
}
