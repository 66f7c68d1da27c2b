package delegate

import (
	"slices"
	"sync"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

// Chooser chooses delegates among the members in a catalog, anew only after the members have changed. It is safe for
// concurrent use.
type Chooser struct {
	catalog *catalog.Catalog

	mu sync.Mutex
	// sequence is that of the catalog for which chosen is valid.
	sequence uint64
	chosen   map[chosenKey][]hub.Member
}

type chosenKey struct {
	duty   Duty
	domain string
}

// NewChooser returns a chooser for the members in c.
func NewChooser(c *catalog.Catalog) *Chooser {
	return &Chooser{catalog: c, chosen: map[chosenKey][]hub.Member{}}
}

// Of returns the delegates for a duty in a failure domain. The result must not be modified.
func (c *Chooser) Of(duty Duty, domain string) []hub.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence := c.catalog.Sequence(); sequence != c.sequence {
		clear(c.chosen)
		c.sequence = sequence
	}
	key := chosenKey{duty: duty, domain: domain}
	chosen, ok := c.chosen[key]
	if !ok {
		chosen = Choose(duty, domain, c.members())
		c.chosen[key] = chosen
	}
	return chosen
}

// Everywhere returns the delegates for a duty in all failure domains with an entry process.
func (c *Chooser) Everywhere(duty Duty) []hub.Member {
	var domains []string
	for _, m := range c.members() {
		if m.Role == hub.RoleEntry && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	var out []hub.Member
	for _, domain := range domains {
		out = append(out, c.Of(duty, domain)...)
	}
	return out
}

func (c *Chooser) members() []hub.Member {
	records := c.catalog.Members()
	out := make([]hub.Member, len(records))
	for i := range records {
		out[i] = records[i].Member
	}
	return out
}
