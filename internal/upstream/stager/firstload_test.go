package stager

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// TestNewerVersionHoldsLoadsUpOnlyIfItCanReplaceThem checks that the loads of a version wait for a newer one only if the
// newer one became the target early enough for engines to skip the older one. Otherwise waiting would leave too little
// time for the loads.
func TestNewerVersionHoldsLoadsUpOnlyIfItCanReplaceThem(t *testing.T) {
	const bound = 8 * time.Second
	targetSince := time.Now()
	heldAt := targetSince.Add(3500 * time.Millisecond)
	for _, tc := range []struct {
		name  string
		newer time.Duration
		want  time.Time
	}{
		{"right after", 500 * time.Millisecond, targetSince.Add(fraction(bound, latestFirstLoadPart))},
		{"during the fetch", 2 * time.Second, heldAt},
		{"during the loads", 4 * time.Second, heldAt},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := directory.Target{Version: 3, Named: []directory.Named{
				{Version: 2, Since: targetSince}, {Version: 3, Since: targetSince.Add(tc.newer)},
			}}
			got := firstLoadTime(target, target.Named[0], &fetch{version: 2, heldAt: heldAt}, bound)
			assert.Assert(t, got.Equal(tc.want), "first load %s after the version became the target", got.Sub(targetSince))
		})
	}
	alone := directory.Target{Version: 2, Named: []directory.Named{{Version: 2, Since: targetSince}}}
	assert.Assert(t, firstLoadTime(alone, alone.Named[0], &fetch{version: 2, heldAt: heldAt}, bound).Equal(heldAt))
}
