package stager

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// A newer version holds the loads of an older one up only where it was named so soon after it that engines can skip
// the older one.
func TestNewerVersionHoldsLoadsUpOnlyIfItCanReplaceThem(t *testing.T) {
	const bound = 8 * time.Second
	named := time.Now()
	held := named.Add(3500 * time.Millisecond)
	for _, tc := range []struct {
		name  string
		newer time.Duration
		want  time.Time
	}{
		{"right after", 500 * time.Millisecond, named.Add(part(bound, lastChance))},
		{"during the fetch", 2 * time.Second, held},
		{"during the loads", 4 * time.Second, held},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := directory.Target{Version: 3, Named: []directory.Named{
				{Version: 2, Since: named}, {Version: 3, Since: named.Add(tc.newer)},
			}}
			got := firstTurn(target, target.Named[0], &fetch{version: 2, heldAt: held}, bound)
			assert.Assert(t, got.Equal(tc.want), "%s after it was named", got.Sub(named))
		})
	}
	alone := directory.Target{Version: 2, Named: []directory.Named{{Version: 2, Since: named}}}
	assert.Assert(t, firstTurn(alone, alone.Named[0], &fetch{version: 2, heldAt: held}, bound).Equal(held))
}
