package directory

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// restoreGrace is the time after the store was restored in which its writers are expected to have written again what it
// has lost.
const restoreGrace = 3 * time.Second

// life tells in which era of the store a document was read last, and since when.
type life struct {
	era   uint64
	known bool
	// since is the time at which the first document of the era was applied, zero if there was no earlier era.
	since time.Time
}

// observe records the era of a document that is applied.
func (l *life) observe(revision uint64, now time.Time) {
	era := hub.EraOf(revision)
	if l.known && era > l.era {
		l.since = now
	}
	l.era, l.known = max(l.era, era), true
}

// mayLack reports whether the store may have lost what was last seen at a revision of it, and may get it back.
func (l *life) mayLack(seen uint64, now time.Time) bool {
	return hub.EraOf(seen) < l.era && now.Sub(l.since) < restoreGrace
}
