package node

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// orderTTL is the time for which the order of the entry processes is used before it is determined again.
const orderTTL = 250 * time.Millisecond

// entryOrder is the order of the entry processes by ID, which divide the free slots of upstreams in this order. It is safe
// for concurrent use.
type entryOrder struct {
	self string
	// others returns the IDs of the other entry processes that are alive.
	others func() []string
	cached atomic.Pointer[cachedTurn]
}

// cachedTurn is the place of this process in the order, with the time at which it was determined.
type cachedTurn struct {
	placement.Turn
	at time.Time
}

func newEntryOrder(self string, others func() []string) *entryOrder {
	return &entryOrder{self: self, others: others}
}

// turn returns the place of this process.
func (o *entryOrder) turn() placement.Turn {
	if c := o.cached.Load(); c != nil && time.Since(c.at) < orderTTL {
		return c.Turn
	}
	ids := append(o.others(), o.self)
	slices.Sort(ids)
	t := placement.Turn{Index: slices.Index(ids, o.self), Entries: len(ids)}
	o.cached.Store(&cachedTurn{Turn: t, at: time.Now()})
	return t
}

// aliveEntries returns the IDs of the other entry processes that are alive.
func (n *node) aliveEntries() []string {
	var out []string
	for _, m := range n.aliveMembers(hub.RoleEntry) {
		out = append(out, m.Id)
	}
	return out
}
