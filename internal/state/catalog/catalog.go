package catalog

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Known is a member record with the time it last changed here.
type Known struct {
	hub.Member
	Seen time.Time
}

// Change is what became known after some sequence, up to Sequence of the given Epoch.
type Change struct {
	Epoch     uint64
	Sequence  uint64
	Documents []hub.Document
	Members   []hub.Member
}

// Catalog merges documents by revision and members by incarnation and sequence; neither ever goes back.
//
// Every accepted change gets the next local sequence. A peer that remembers the epoch and sequence of its
// last exchange is given only what changed since, so an exchange costs what changed, not what is known.
type Catalog struct {
	mu        sync.Mutex
	epoch     uint64
	sequence  uint64
	documents map[string]stamped[hub.Document]
	members   map[string]stamped[Known]
	changed   chan struct{}
}

type stamped[T any] struct {
	value    T
	sequence uint64
}

// New returns an empty catalog; epoch must differ between two starts of a process.
func New(epoch uint64) *Catalog {
	return &Catalog{
		epoch:     epoch,
		documents: map[string]stamped[hub.Document]{},
		members:   map[string]stamped[Known]{},
		changed:   make(chan struct{}),
	}
}

// PutDocument takes in a document and reports whether it is newer than the one known.
func (c *Catalog) PutDocument(d hub.Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Revision <= c.documents[d.Name].value.Revision {
		return false
	}
	c.documents[d.Name] = stamped[hub.Document]{value: d, sequence: c.next()}
	c.wake()
	return true
}

// PutMember takes in a member record and reports whether it is newer than the one known.
func (c *Catalog) PutMember(m hub.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.members[m.Id]
	if ok && !m.NewerThan(&known.value.Member) {
		return false
	}
	c.members[m.Id] = stamped[Known]{value: Known{Member: m, Seen: time.Now()}, sequence: c.next()}
	c.wake()
	return true
}

// Forget drops the member records that have not changed for longer than age, except that of keep.
func (c *Catalog) Forget(age time.Duration, keep string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-age)
	maps.DeleteFunc(c.members, func(id string, m stamped[Known]) bool {
		return id != keep && m.value.Seen.Before(limit)
	})
}

// Document returns the known state of a document; its revision is 0 where none is known.
func (c *Catalog) Document(name string) hub.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.documents[name].value
}

// Documents returns all known documents in name order.
func (c *Catalog) Documents() []hub.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]hub.Document, 0, len(c.documents))
	for _, name := range slices.Sorted(maps.Keys(c.documents)) {
		out = append(out, c.documents[name].value)
	}
	return out
}

// Members returns all known members in ID order.
func (c *Catalog) Members() []Known {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Known, 0, len(c.members))
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		out = append(out, c.members[id].value)
	}
	return out
}

// Member returns the known record of one member.
func (c *Catalog) Member(id string) (Known, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.members[id]
	return known.value, ok
}

// ChangesSince returns what changed after sequence of epoch; everything, when the epoch is another one.
func (c *Catalog) ChangesSince(epoch, sequence uint64) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		sequence = 0
	}
	change := Change{Epoch: c.epoch, Sequence: c.sequence}
	for _, d := range c.documents {
		if d.sequence > sequence {
			change.Documents = append(change.Documents, d.value)
		}
	}
	for _, m := range c.members {
		if m.sequence > sequence {
			change.Members = append(change.Members, m.value.Member)
		}
	}
	return change
}

// Merge takes in what another process sent.
func (c *Catalog) Merge(documents []hub.Document, members []hub.Member) {
	for _, d := range documents {
		c.PutDocument(d)
	}
	for _, m := range members {
		c.PutMember(m)
	}
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Epoch returns the epoch of this catalog.
func (c *Catalog) Epoch() uint64 {
	return c.epoch
}

func (c *Catalog) next() uint64 {
	c.sequence++
	return c.sequence
}

func (c *Catalog) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}
