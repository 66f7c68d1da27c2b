package presence

import (
	"context"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

// checkInterval is the interval at which the record is checked for changes and suspicions.
const checkInterval = 100 * time.Millisecond

// Presence publishes the member record of its process in the catalog, from which it is replicated to other processes.
//
// A new record is published only for changes that affect other processes, such as those of the state, the version or an
// address. Values that change continuously, such as the load or the progress of a transfer, are returned on request
// instead, so that an idle deployment has no replication traffic.
type Presence struct {
	catalog *catalog.Catalog
	record  func() hub.Member

	mu        sync.Mutex
	published hub.Member
}

// New returns a Presence; record returns the current record of the process.
func New(c *catalog.Catalog, record func() hub.Member) *Presence {
	return &Presence{catalog: c, record: record}
}

// Run calls Publish every checkInterval until ctx is done.
func (p *Presence) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Publish()
		}
	}
}

// Publish puts a new record into the catalog if it differs from the published one, or if the record in the catalog is
// suspected or was replaced by another.
func (p *Presence) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.record()
	known, ok := p.catalog.Member(m.Id)
	current := ok && !known.Suspected && known.Incarnation == m.Incarnation && known.Sequence == p.published.Sequence
	if current && equivalent(&m, &p.published) {
		return
	}
	m.Sequence = max(p.published.Sequence, known.Sequence) + 1
	p.published = m
	p.catalog.PutMember(m, m.Id)
}

// equivalent reports whether two records do not differ in any field that affects other processes.
func equivalent(a, b *hub.Member) bool {
	return a.State == b.State && a.ServingRoot == b.ServingRoot && a.ServingVersion == b.ServingVersion &&
		a.Address == b.Address && a.Group == b.Group && a.Domain == b.Domain && a.Region == b.Region
}
