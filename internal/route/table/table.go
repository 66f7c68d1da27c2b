package table

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/state/roster"
	"github.com/oriolehub/oriolehub/internal/state/view"
)

// Group is a group of upstreams.
type Group struct {
	Rule statement.GroupRule
	// Upstreams lists the upstreams that may receive new requests.
	Upstreams []*Upstream
	// MemberCount is the number of all upstreams of the group, including those that receive no new requests.
	MemberCount int
}

// Candidates implements hub.Candidates for upstreams.
type Candidates struct {
	Upstreams []*Upstream
	// Now is the time of the choice in Unix nanoseconds.
	Now int64
}

var _ hub.Candidates = (*Candidates)(nil)

// Len returns the number of upstreams.
func (c *Candidates) Len() int { return len(c.Upstreams) }

// At returns the state of upstream i at the time Now.
func (c *Candidates) At(i int) hub.Candidate { return c.Upstreams[i].candidate(c.Now) }

// Table is a routing table. It is immutable once published.
type Table struct {
	RulesRevision uint64
	Rules         *statement.Ruleset
	Groups        map[string]*Group
}

// Builder publishes a new table when the view or the roster changes.
type Builder struct {
	domain    string
	region    string
	publisher *view.Publisher
	roster    *roster.Roster
	// upstreams maps the IDs of all upstreams to the state that is carried over from table to table.
	upstreams map[string]*Upstream
	current   atomic.Pointer[Table]
}

// NewBuilder returns a Builder for an entry process in the given failure domain and region. Until the first Rebuild the
// current table is empty.
func NewBuilder(domain, region string, p *view.Publisher, r *roster.Roster) *Builder {
	b := &Builder{domain: domain, region: region, publisher: p, roster: r, upstreams: map[string]*Upstream{}}
	b.current.Store(&Table{Rules: &statement.Ruleset{}, Groups: map[string]*Group{}})
	return b
}

// Current returns the table published last.
func (b *Builder) Current() *Table { return b.current.Load() }

// Run rebuilds the table whenever the view or the roster changes, until ctx is done.
func (b *Builder) Run(ctx context.Context) {
	for {
		changed, listed := b.publisher.Changed(), b.roster.Changed()
		b.Rebuild()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-listed:
		}
	}
}

// Rebuild publishes a table built from the current view. It must not be called concurrently.
func (b *Builder) Rebuild() {
	v := b.publisher.Current()
	next := &Table{RulesRevision: v.RulesRevision, Rules: v.Rules, Groups: map[string]*Group{}}
	for i := range v.Rules.Groups {
		rule := v.Rules.Groups[i]
		next.Groups[rule.Name] = &Group{Rule: rule}
	}
	kept := make(map[string]*Upstream, len(b.upstreams))
	for i := range v.Members {
		m := &v.Members[i]
		g := next.Groups[m.Group]
		if m.Role != hub.RoleSide || g == nil {
			continue
		}
		g.MemberCount++
		u := b.upstream(&m.Member)
		kept[m.Id] = u
		u.suspected.Store(m.Suspected)
		if b.inService(v, &m.Member) {
			g.Upstreams = append(g.Upstreams, u)
		}
	}
	b.upstreams = kept
	b.current.Store(next)
}

// inService reports whether an upstream may receive new requests: it is serving, its failure domain is not out of
// service and the VM list does not mark it as leaving.
func (b *Builder) inService(v *view.View, m *hub.Member) bool {
	return m.State == hub.StateServing && !v.Rules.DomainOut(m.Domain) && !b.roster.Leaving(m.Id)
}

// upstream returns the Upstream of a member: the existing one, or a new one if the member is new or has restarted. The
// limit of the member record applies initially and while the member is not serving.
func (b *Builder) upstream(m *hub.Member) *Upstream {
	u := b.upstreams[m.Id]
	if u == nil || u.Incarnation != m.Incarnation {
		u = &Upstream{
			Id:          m.Id,
			Address:     m.Address,
			Domain:      m.Domain,
			Region:      m.Region,
			Incarnation: m.Incarnation,
			Locality:    b.locality(m),
			Hash:        xxhash.Sum64String(m.Id),
		}
	}
	if u.limit.Load() == 0 || m.State != hub.StateServing {
		u.limit.Store(int64(max(1, m.Limit)))
	}
	return u
}

func (b *Builder) locality(m *hub.Member) hub.Locality {
	switch {
	case m.Domain == b.domain:
		return hub.SameDomain
	case m.Region == b.region:
		return hub.SameRegion
	default:
		return hub.OtherRegion
	}
}
