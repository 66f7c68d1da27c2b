package pace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/weights/pace"
)

// transferTime returns the time that n bytes take in pieces.
func transferTime(t *testing.T, p *pace.Pacer, n int) time.Duration {
	t.Helper()
	started := time.Now()
	assert.NilError(t, p.Wait(t.Context(), n))
	return time.Since(started)
}

// Guards against a transfer that stays at the rate for a busy link when the link has become idle, and the reverse.
func TestRateFollowsTheBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pace.New(1 << 20)
		slow := transferTime(t, p, 8<<20)
		p.SetRate(2 << 20)
		fast := transferTime(t, p, 8<<20)
		assert.Assert(t, fast > slow*2/5 && fast < slow*3/5, "%v after %v", fast, slow)
		p.SetRate(1 << 20)
		again := transferTime(t, p, 8<<20)
		assert.Assert(t, again > slow*9/10, "%v after %v", again, slow)
	})
}

// Guards against a VM of unknown bandwidth that gets a limit, or one that loses it.
func TestUnknownBandwidthChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unlimited := pace.New(0)
		unlimited.SetRate(1)
		assert.Equal(t, transferTime(t, unlimited, 8<<20), time.Duration(0))
		limited := pace.New(1 << 20)
		limited.SetRate(0)
		assert.Assert(t, transferTime(t, limited, 8<<20) > 7*time.Second)
	})
}
