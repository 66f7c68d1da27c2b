package catalog

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/listing"
)

// Record is a member record with the time at which this catalog last received a change of it.
type Record struct {
	hub.Member
	UpdatedAt time.Time
}

// Change holds the member records that changed after some sequence, up to Sequence of Epoch.
type Change struct {
	Epoch    uint64
	Sequence uint64
	Members  []hub.Member
}

// Catalog keeps the newest revision of each document and the newest record of each member; an older one never replaces
// a newer one.
//
// Member records are kept in the order of their last change, each with a local sequence number. A neighbour that sends
// the epoch and sequence of its last exchange receives only the records that changed since, so the cost of an exchange
// is proportional to the number of changes, not to the number of members.
type Catalog struct {
	mu        sync.Mutex
	epoch     uint64
	sequence  uint64
	documents map[string]*history
	members   map[string]*list.Element
	// changes holds one *entry for each member, from the oldest change to the newest.
	changes *list.List
	// sorted caches the result of Members, nil after a change.
	sorted  []Record
	buckets Buckets
	// changed is closed when a document or a member record changes.
	changed chan struct{}
	// documentsChanged is closed when a document changes.
	documentsChanged chan struct{}
	read             BytesRead
}

// BytesRead holds the bytes of the documents that Since returned for other processes.
type BytesRead struct {
	Whole int64
	Delta int64
}

// entry is a member record with its position in the order of changes.
type entry struct {
	record   Record
	sequence uint64
	// from is the ID of the process from which the record was received.
	from string
}

// New returns an empty catalog. epoch must be different after each start of a process.
func New(epoch uint64) *Catalog {
	return &Catalog{
		epoch:            epoch,
		documents:        map[string]*history{},
		members:          map[string]*list.Element{},
		changes:          list.New(),
		changed:          make(chan struct{}),
		documentsChanged: make(chan struct{}),
	}
}

// PutDocument stores d and returns true if its revision is higher than the stored one.
func (c *Catalog) PutDocument(d hub.Document) bool { return c.ReceiveDocument(d, "") }

// PutList stores a document that is a list and returns true if its revision is higher than the stored one.
func (c *Catalog) PutList(name string, revision uint64, l *listing.List) bool {
	return c.ReceiveList(name, revision, l, "")
}

// put stores d, which came from the given process; l is its list, nil if it is not a list.
func (c *Catalog) put(d hub.Document, l *listing.List, from string) bool {
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
	h.put(d, l)
	h.arrival = Arrival{Revision: d.Revision, From: from, At: time.Now()}
	close(c.documentsChanged)
	c.documentsChanged = make(chan struct{})
	c.notify()
	return true
}

// List returns the current revision of a document that is a list, or nil if there is none or it is not a list.
func (c *Catalog) List(name string) (l *listing.List, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.documents[name]
	if h == nil {
		return nil, 0
	}
	return h.list.List(), h.current.Revision
}

// Since encodes the current revision of a document for a process that has revision base: as a delta if possible and
// shorter, otherwise whole. entries tells whether the process accepts changed entries of lists.
func (c *Catalog) Since(name string, base uint64, entries bool) Encoding {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.documents[name]
	if h == nil {
		return Encoding{}
	}
	e := h.since(base, entries)
	if e.Base == 0 {
		c.read.Whole += int64(len(e.Value))
	} else {
		c.read.Delta += int64(len(e.Value))
	}
	return e
}

// BytesRead returns the bytes of the documents returned by Since so far.
func (c *Catalog) BytesRead() BytesRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// SetInconsistent marks a document as inconsistent with the changes that other processes send; Revisions reports it as
// missing until it is replaced.
func (c *Catalog) SetInconsistent(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.documents[name]; h != nil {
		h.inconsistent = true
	}
}

// Revisions returns the revision of each document, 0 for those that are needed whole.
func (c *Catalog) Revisions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.documents))
	for name, h := range c.documents {
		out[name] = h.current.Revision
		if h.inconsistent {
			out[name] = 0
		}
	}
	return out
}

// PutMember stores the member record m, received from the process with ID from, and returns true if it is newer than
// the stored one.
func (c *Catalog) PutMember(m hub.Member, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.members[m.Id]
	if ok && !m.NewerThan(&element.Value.(*entry).record.Member) {
		return false
	}
	c.sequence++
	e := &entry{record: Record{Member: m, UpdatedAt: time.Now()}, sequence: c.sequence, from: from}
	if ok {
		c.buckets.toggle(&element.Value.(*entry).record.Member)
		c.changes.Remove(element)
	}
	c.buckets.toggle(&m)
	c.members[m.Id] = c.changes.PushBack(e)
	c.sorted = nil
	c.notify()
	return true
}

// Forget removes the records of members that are not alive and have not changed for longer than age.
func (c *Catalog) Forget(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(-age)
	for element := c.changes.Front(); element != nil; {
		next := element.Next()
		known := element.Value.(*entry).record
		if !known.Alive() && known.UpdatedAt.Before(limit) {
			c.buckets.toggle(&known.Member)
			c.changes.Remove(element)
			delete(c.members, known.Id)
			c.sorted = nil
		}
		element = next
	}
}

// Document returns the current revision of a document, or a zero Document if there is none.
func (c *Catalog) Document(name string) hub.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.documents[name]; h != nil {
		return h.current
	}
	return hub.Document{}
}

// Documents returns the current revisions of all documents, sorted by name.
func (c *Catalog) Documents() []hub.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]hub.Document, 0, len(c.documents))
	for _, name := range slices.Sorted(maps.Keys(c.documents)) {
		out = append(out, c.documents[name].current)
	}
	return out
}

// Members returns the records of all members, sorted by ID. The result must not be modified.
func (c *Catalog) Members() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sorted == nil {
		out := make([]Record, 0, len(c.members))
		for element := c.changes.Front(); element != nil; element = element.Next() {
			out = append(out, element.Value.(*entry).record)
		}
		slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Id, b.Id) })
		c.sorted = out
	}
	return c.sorted
}

// Member returns the record of one member, or false if there is none.
func (c *Catalog) Member(id string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.members[id]
	if !ok {
		return Record{}, false
	}
	return element.Value.(*entry).record, true
}

// ChangesSince returns the member records that changed after sequence, or all records if epoch is not the epoch of
// this catalog. Records that were received from peer, which the result is sent to, are left out.
func (c *Catalog) ChangesSince(epoch, sequence uint64, peer string) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch != c.epoch {
		sequence = 0
	}
	change := Change{Epoch: c.epoch, Sequence: c.sequence}
	for element := c.changes.Back(); element != nil; element = element.Prev() {
		e := element.Value.(*entry)
		if e.sequence <= sequence {
			break
		}
		if e.from != peer {
			change.Members = append(change.Members, e.record.Member)
		}
	}
	slices.Reverse(change.Members)
	return change
}

// Buckets returns the digests of all member records.
func (c *Catalog) Buckets() Buckets {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buckets
}

// Differing returns the member records of the buckets whose digests differ from those of another process, and the
// sequence from which that process can continue with ChangesSince.
func (c *Catalog) Differing(other Buckets) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := Change{Epoch: c.epoch, Sequence: c.sequence}
	for element := c.changes.Front(); element != nil; element = element.Next() {
		m := element.Value.(*entry).record.Member
		bucket := bucketOf(m.Id)
		if c.buckets[bucket] != other[bucket] {
			change.Members = append(change.Members, m)
		}
	}
	return change
}

// Changed returns a channel that is closed at the next change of a document or a member record.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// DocumentsChanged returns a channel that is closed at the next change of a document.
func (c *Catalog) DocumentsChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.documentsChanged
}

// Sequence returns the local sequence number of the newest change of a member record.
func (c *Catalog) Sequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}

// Epoch returns the epoch that was passed to New.
func (c *Catalog) Epoch() uint64 {
	return c.epoch
}

// notify closes the channel returned by Changed.
func (c *Catalog) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}
