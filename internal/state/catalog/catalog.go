package catalog

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delta"
)

// keptRevisions is the number of earlier values of a document from which deltas can be made.
const keptRevisions = 4

// Known is a member record with the time it last changed here.
type Known struct {
	hub.Member
	Seen time.Time
}

// Change is the member records that became known after some sequence, up to Sequence of Epoch.
type Change struct {
	Epoch    uint64
	Sequence uint64
	Members  []hub.Member
}

// Catalog merges documents by revision and members by incarnation and sequence; neither ever goes back.
//
// Member records are kept in the order of their last change, each with a local sequence. A neighbour
// that remembers the epoch and sequence of its last exchange is given only what changed since, so an
// exchange costs what changed and not what is known.
type Catalog struct {
	mu        sync.Mutex
	epoch     uint64
	sequence  uint64
	documents map[string]*history
	members   map[string]*list.Element
	// changes holds *entry from the oldest change to the newest.
	changes *list.List
	// buckets are digests over the records whose IDs hash to them.
	buckets Buckets
	changed chan struct{}
	// renewed is closed when a document changes.
	renewed chan struct{}
}

type entry struct {
	known    Known
	sequence uint64
	// from is the peer that told of the change.
	from string
}

// history is a document with its earlier values and the deltas already made.
type history struct {
	current hub.Document
	earlier []hub.Document
	deltas  map[uint64][]byte
}

// New returns an empty catalog; epoch must differ between two starts of a process.
func New(epoch uint64) *Catalog {
	return &Catalog{
		epoch:     epoch,
		documents: map[string]*history{},
		members:   map[string]*list.Element{},
		changes:   list.New(),
		changed:   make(chan struct{}),
		renewed:   make(chan struct{}),
	}
}

// PutDocument takes in a document and reports whether it is newer than the one known.
func (c *Catalog) PutDocument(d hub.Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.documents[d.Name]
	if h == nil {
		h = &history{}
	}
	if d.Revision <= h.current.Revision {
		return false
	}
	c.documents[d.Name] = h
	if h.current.Revision != 0 {
		h.earlier = append(h.earlier, h.current)
		h.earlier = h.earlier[max(0, len(h.earlier)-keptRevisions):]
	}
	h.current = d
	h.deltas = map[uint64][]byte{}
	close(c.renewed)
	c.renewed = make(chan struct{})
	c.wake()
	return true
}

// Since returns a document in the shortest form for a process that has revision base of it.
func (c *Catalog) Since(name string, base uint64) (value []byte, from uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.documents[name]
	if h == nil {
		return nil, 0
	}
	if encoded, ok := h.deltas[base]; ok {
		return encoded, base
	}
	for _, d := range h.earlier {
		if d.Revision != base {
			continue
		}
		if encoded, ok := delta.Encode(d.Value, h.current.Value); ok {
			h.deltas[base] = encoded
			return encoded, base
		}
	}
	return h.current.Value, 0
}

// PutMember takes in a member record that from told and reports whether it is newer than the one known.
func (c *Catalog) PutMember(m hub.Member, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.members[m.Id]
	if ok && !m.NewerThan(&at.Value.(*entry).known.Member) {
		return false
	}
	c.sequence++
	e := &entry{known: Known{Member: m, Seen: time.Now()}, sequence: c.sequence, from: from}
	if ok {
		c.buckets.toggle(&at.Value.(*entry).known.Member)
		c.changes.Remove(at)
	}
	c.buckets.toggle(&m)
	c.members[m.Id] = c.changes.PushBack(e)
	c.wake()
	return true
}

// Forget drops the records of members that are suspected or gone and have not changed for longer than age.
func (c *Catalog) Forget(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-age)
	for at := c.changes.Front(); at != nil; {
		next := at.Next()
		known := at.Value.(*entry).known
		if !known.Alive() && known.Seen.Before(limit) {
			c.buckets.toggle(&known.Member)
			c.changes.Remove(at)
			delete(c.members, known.Id)
		}
		at = next
	}
}

// Document returns the known state of a document; its revision is 0 where none is known.
func (c *Catalog) Document(name string) hub.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.documents[name]; h != nil {
		return h.current
	}
	return hub.Document{}
}

// Documents returns all known documents in name order.
func (c *Catalog) Documents() []hub.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]hub.Document, 0, len(c.documents))
	for _, name := range slices.Sorted(maps.Keys(c.documents)) {
		out = append(out, c.documents[name].current)
	}
	return out
}

// Members returns all known members in ID order.
func (c *Catalog) Members() []Known {
	c.mu.Lock()
	out := make([]Known, 0, len(c.members))
	for at := c.changes.Front(); at != nil; at = at.Next() {
		out = append(out, at.Value.(*entry).known)
	}
	c.mu.Unlock()
	slices.SortFunc(out, func(a, b Known) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return out
}

// Member returns the known record of one member.
func (c *Catalog) Member(id string) (Known, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.members[id]
	if !ok {
		return Known{}, false
	}
	return at.Value.(*entry).known, true
}

// ChangesSince returns the member records that changed after sequence of epoch, all when the epoch is
// another one, but not those that the peer for whom they are told itself.
func (c *Catalog) ChangesSince(epoch, sequence uint64, peer string) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		sequence = 0
	}
	change := Change{Epoch: c.epoch, Sequence: c.sequence}
	for at := c.changes.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry)
		if e.sequence <= sequence {
			break
		}
		if e.from != peer {
			change.Members = append(change.Members, e.known.Member)
		}
	}
	slices.Reverse(change.Members)
	return change
}

// Buckets returns digests of all member records, by bucket.
func (c *Catalog) Buckets() Buckets {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buckets
}

// Differing returns the member records of the buckets whose digests differ from those of another
// process, with the sequence up to which the two then agree.
func (c *Catalog) Differing(other Buckets) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := Change{Epoch: c.epoch, Sequence: c.sequence}
	for at := c.changes.Front(); at != nil; at = at.Next() {
		m := at.Value.(*entry).known.Member
		bucket := bucketOf(m.Id)
		if c.buckets[bucket] != other[bucket] {
			change.Members = append(change.Members, m)
		}
	}
	return change
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Renewed returns a channel that is closed when a document changes.
func (c *Catalog) Renewed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewed
}

// Sequence returns the local sequence of the newest change of a member record.
func (c *Catalog) Sequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}

// Epoch returns the epoch of this catalog.
func (c *Catalog) Epoch() uint64 {
	return c.epoch
}

func (c *Catalog) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}
