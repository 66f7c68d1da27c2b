package exchange

import (
	"maps"
	"slices"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/delta"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// revisions maps the names of the documents that a process has to their revisions.
type revisions map[string]uint64

// toRevisions returns the revisions of all documents in the catalog, sorted by name.
func toRevisions(c *catalog.Catalog) []*message.DocumentRevision {
	var out []*message.DocumentRevision
	known := c.Revisions()
	for _, name := range slices.Sorted(maps.Keys(known)) {
		out = append(out, &message.DocumentRevision{Name: name, Revision: known[name]})
	}
	return out
}

func fromRevisions(in []*message.DocumentRevision) revisions {
	out := revisions{}
	for _, r := range in {
		out[r.GetName()] = r.GetRevision()
	}
	return out
}

// newerThan returns the documents whose revisions are higher than those in known, each as a delta if possible. entries
// tells whether the receiver accepts changed entries of lists.
func newerThan(c *catalog.Catalog, known revisions, entries bool) []*message.Document {
	var out []*message.Document
	for _, d := range c.Documents() {
		if d.Revision <= known[d.Name] {
			continue
		}
		e := c.Since(d.Name, known[d.Name], entries)
		out = append(out, &message.Document{
			Name: d.Name, Revision: e.Revision, Value: e.Value, BaseRevision: e.Base, Checksum: e.Checksum, Entries: e.Entries,
		})
	}
	return out
}

// merge adds documents and member records received from another process to the catalog. A delta that does not fit the
// current revision is skipped; the sender finds the old revision in the next exchange and sends the document again in a
// form that can be decoded.
func merge(c *catalog.Catalog, from string, documents []*message.Document, members []*message.Member) {
	for _, d := range documents {
		if d.GetEntries() {
			applyEntries(c, d, from)
			continue
		}
		if value, ok := fullValue(c, d); ok {
			c.ReceiveDocument(hub.Document{Name: d.GetName(), Revision: d.GetRevision(), Value: value}, from)
		}
	}
	for _, m := range members {
		c.PutMember(FromMember(m), from)
	}
}

// fullValue returns the full value of a received document, or false if it is not newer, its base does not fit the
// current revision or its checksum does not match.
func fullValue(c *catalog.Catalog, d *message.Document) ([]byte, bool) {
	known := c.Document(d.GetName())
	switch {
	case d.GetRevision() <= known.Revision && d.GetBaseRevision() != 0:
		return nil, false
	case d.GetBaseRevision() == 0:
		return d.GetValue(), delta.Checksum(d.GetValue()) == d.GetChecksum()
	case known.Revision != d.GetBaseRevision():
		return nil, false
	}
	value, err := delta.Apply(known.Value, d.GetValue(), d.GetChecksum())
	return value, err == nil
}

// applyEntries stores the list after the changes received from a process if they lead to a newer one. If they do not fit,
// the list is requested whole.
func applyEntries(c *catalog.Catalog, d *message.Document, from string) {
	known, revision := c.List(d.GetName())
	if known == nil || d.GetRevision() <= revision || revision < d.GetBaseRevision() {
		return
	}
	l, err := known.Apply(d.GetValue(), d.GetChecksum())
	if err != nil {
		c.SetInconsistent(d.GetName())
		return
	}
	c.ReceiveList(d.GetName(), d.GetRevision(), l, from)
}
