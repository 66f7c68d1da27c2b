package exchange

import (
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/delta"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// revisions maps the names of the documents that a process has to their revisions.
type revisions map[string]uint64

// toRevisions returns the revisions of all documents in the catalog.
func toRevisions(c *catalog.Catalog) []*message.DocumentRevision {
	var out []*message.DocumentRevision
	for _, d := range c.Documents() {
		out = append(out, &message.DocumentRevision{Name: d.Name, Revision: d.Revision})
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

// newerThan returns the documents whose revisions are higher than those in known, each as a delta if possible.
func newerThan(c *catalog.Catalog, known revisions) []*message.Document {
	var out []*message.Document
	for _, d := range c.Documents() {
		if d.Revision <= known[d.Name] {
			continue
		}
		value, base := c.Since(d.Name, known[d.Name])
		out = append(out, &message.Document{
			Name: d.Name, Revision: d.Revision, Value: value, BaseRevision: base, Checksum: delta.Checksum(d.Value),
		})
	}
	return out
}

// merge adds documents and member records received from another process to the catalog. A delta whose base revision
// is not the current one is skipped; the sender finds the old revision in the next exchange and sends the document
// again in a form that can be decoded.
func merge(c *catalog.Catalog, from string, documents []*message.Document, members []*message.Member) {
	for _, d := range documents {
		if value, ok := fullValue(c, d); ok {
			c.PutDocument(hub.Document{Name: d.GetName(), Revision: d.GetRevision(), Value: value})
		}
	}
	for _, m := range members {
		c.PutMember(FromMember(m), from)
	}
}

// fullValue returns the full value of a received document, or false if its base is not the current revision or its
// checksum does not match.
func fullValue(c *catalog.Catalog, d *message.Document) ([]byte, bool) {
	if d.GetBaseRevision() == 0 {
		return d.GetValue(), delta.Checksum(d.GetValue()) == d.GetChecksum()
	}
	base := c.Document(d.GetName())
	if base.Revision != d.GetBaseRevision() {
		return nil, false
	}
	value, err := delta.Apply(base.Value, d.GetValue(), d.GetChecksum())
	return value, err == nil
}
