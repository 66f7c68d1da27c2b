package catalog

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/listing"
)

// Arrival tells how the current revision of a document came to this process.
type Arrival struct {
	Revision uint64
	// From is the process that sent the revision, empty if this process has read or made it itself.
	From string
	At   time.Time
}

// Arrival returns how the current revision of a document arrived, or a zero Arrival if there is none.
func (c *Catalog) Arrival(name string) Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.documents[name]; h != nil {
		return h.arrival
	}
	return Arrival{}
}

// ReceiveDocument is PutDocument for a document that the process from has sent.
func (c *Catalog) ReceiveDocument(d hub.Document, from string) bool {
	if c.Document(d.Name).Revision >= d.Revision {
		return false
	}
	// A document that is not a list has no changed entries.
	l, err := listing.Parse(d.Value)
	if err != nil {
		l = nil
	}
	return c.put(d, l, from)
}

// ReceiveList is PutList for a document that the process from has sent.
func (c *Catalog) ReceiveList(name string, revision uint64, l *listing.List, from string) bool {
	return c.put(hub.Document{Name: name, Revision: revision, Value: l.Value()}, l, from)
}
