package presence

import (
	"context"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

// lookInterval is the time between two looks for something worth telling.
const lookInterval = 100 * time.Millisecond

// Presence publishes the record of one process in its catalog, from where it spreads.
//
// Only what others act on is worth a new record: state, version and addresses. What changes all the time,
// such as the load or the progress of a fetch, is told on request, so that a steady fleet spreads nothing.
type Presence struct {
	catalog *catalog.Catalog
	record  func() hub.Member

	mu        sync.Mutex
	published hub.Member
}

// New returns a presence for the process whose record is returned by record.
func New(c *catalog.Catalog, record func() hub.Member) *Presence {
	return &Presence{catalog: c, record: record}
}

// Run publishes until ctx ends.
func (p *Presence) Run(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
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

// Publish puts a new record into the catalog if others should know of a change or suspect this process.
func (p *Presence) Publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.record()
	known, ok := p.catalog.Member(m.Id)
	current := ok && !known.Suspected && known.Incarnation == m.Incarnation && known.Sequence == p.published.Sequence
	if current && same(&m, &p.published) {
		return
	}
	m.Sequence = max(p.published.Sequence, known.Sequence) + 1
	p.published = m
	p.catalog.PutMember(m, m.Id)
}

// same reports whether two records tell others the same.
func same(a, b *hub.Member) bool {
	return a.State == b.State && a.ServingRoot == b.ServingRoot && a.ServingVersion == b.ServingVersion &&
		a.Address == b.Address && a.Group == b.Group && a.Domain == b.Domain && a.Region == b.Region
}
