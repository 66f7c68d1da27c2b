package exchange

import (
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/delta"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// revisions is the revision of each document that a process has.
type revisions map[string]uint64

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

// newerThan returns the documents that a process with the given revisions lacks, each as short as possible.
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

// merge takes in what another process sent; a delta whose base is not here is left out, and the
// revisions told afterwards make the sender send the whole document.
func merge(c *catalog.Catalog, from string, documents []*message.Document, members []*message.Member) {
	for _, d := range documents {
		if value, ok := wholeValue(c, d); ok {
			c.PutDocument(hub.Document{Name: d.GetName(), Revision: d.GetRevision(), Value: value})
		}
	}
	for _, m := range members {
		c.PutMember(FromMember(m), from)
	}
}

func wholeValue(c *catalog.Catalog, d *message.Document) ([]byte, bool) {
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
