package catalog

import (
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delta"
	"github.com/oriolehub/oriolehub/internal/state/listing"
)

// maxCachedDeltas is the number of deltas to the current revision of a document that are kept.
const maxCachedDeltas = 64

// maxBaseRevisions is the number of earlier revisions of a document that are kept as bases for deltas.
const maxBaseRevisions = 4

// history is a document with what is kept of its earlier revisions.
type history struct {
	current hub.Document
	// arrival tells how current came to this process.
	arrival Arrival
	// earlier holds up to maxBaseRevisions revisions, the oldest first; it is empty for lists.
	earlier []hub.Document
	// list is the history of a document that is a list.
	list listing.History
	// deltas caches up to maxCachedDeltas deltas to the current revision, by what they are based on.
	deltas map[deltaKey]Encoding
	// inconsistent is true if changes received from another process did not fit the current revision.
	inconsistent bool
}

// deltaKey identifies an encoding of the current revision.
type deltaKey struct {
	base    uint64
	entries bool
}

// Encoding is a document encoded for a process that has an earlier revision of it.
type Encoding struct {
	// Revision and Checksum are those of the whole value.
	Revision uint64
	Checksum uint64
	Value    []byte
	// Base is the revision that the receiver must have, 0 if Value is the whole value.
	Base uint64
	// Entries is true if Value holds changed entries of a list; the receiver may also have a revision after Base.
	Entries bool
}

// put replaces the current revision by d.
func (h *history) put(d hub.Document, l *listing.List) {
	h.list.Update(l, d.Revision)
	switch {
	case l != nil:
		h.earlier = nil
	case h.current.Revision != 0:
		h.earlier = append(h.earlier, h.current)
		h.earlier = h.earlier[max(0, len(h.earlier)-maxBaseRevisions):]
	}
	h.current, h.inconsistent = d, false
	h.deltas = map[deltaKey]Encoding{}
}

// since encodes the current revision as in Catalog.Since.
func (h *history) since(base uint64, entries bool) Encoding {
	key := deltaKey{base: base, entries: entries}
	e, ok := h.deltas[key]
	if !ok {
		e = h.encode(base, entries)
	}
	if !ok && e.Base != 0 && len(h.deltas) < maxCachedDeltas {
		h.deltas[key] = e
	}
	return e
}

func (h *history) encode(base uint64, entries bool) Encoding {
	e := Encoding{Revision: h.current.Revision, Checksum: delta.Checksum(h.current.Value), Value: h.current.Value}
	if base == 0 {
		return e
	}
	if entries {
		if encoded, ok := h.list.Since(base); ok && len(encoded) < len(h.current.Value) {
			e.Value, e.Base, e.Entries = encoded, base, true
			return e
		}
	}
	for _, d := range h.earlier {
		if d.Revision != base {
			continue
		}
		if encoded, ok := delta.Encode(d.Value, h.current.Value); ok {
			e.Value, e.Base = encoded, base
			return e
		}
	}
	return e
}
