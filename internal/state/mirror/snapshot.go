package mirror

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/listing"
)

// Names of the documents that a mirror publishes. The configuration document holds the value of one key, the others
// hold a list of keys (see package listing).
const (
	DocumentConfiguration = "Configuration"
	DocumentDirectives    = "Directives"
	DocumentUpstreams     = "Upstreams"
	// DocumentReturn has no value. Its revision rises each time the store is back after an outage because of which entries of
	// upstreams may expire.
	DocumentReturn = "StoreReturn"
)

// Documents lists the names of the documents that a Mirror publishes, but for DocumentReturn.
var Documents = []string{DocumentConfiguration, DocumentDirectives, DocumentUpstreams}

// maxEntryBytes limits the value of a key in a list. Longer ones would fill the links of the processes that the list is
// replicated to.
const maxEntryBytes = 16 << 10

// keys is the state of all keys with one prefix at a revision of the store.
type keys struct {
	items map[string]hub.Item
	// revision is the store revision.
	revision uint64
	// contact is the time of the last call that succeeded, or until which no calls were due, toldReturn the revision of
	// DocumentReturn at that time.
	contact    time.Time
	toldReturn uint64
	// skipped is the number of entries that could not be read in the last listing.
	skipped int
}

// tooLong returns the keys in include whose values are too long for an entry.
func (k *keys) tooLong(include func(key string) bool) []hub.Item {
	var out []hub.Item
	for _, i := range k.items {
		if include(i.Key) && len(i.Value) > maxEntryBytes {
			out = append(out, i)
		}
	}
	return out
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

// list returns the list of the keys that include accepts, without those whose values are too long for an entry.
func (k *keys) list(include func(key string) bool) (*listing.List, error) {
	var out []listing.Entry
	for _, i := range k.items {
		if include(i.Key) && len(i.Value) <= maxEntryBytes {
			out = append(out, listing.Entry{Key: i.Key, Value: i.Value, Revision: i.Revision})
		}
	}
	return listing.New(out)
}

// adopt replaces the keys that include accepts by the entries of a document with a higher revision.
func (k *keys) adopt(entries []listing.Entry, revision uint64, include func(key string) bool) {
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
