package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against notices of many crashes that fill the links between regions, and against some that are never sent.
func TestRoundsOfNoticesAreBounded(t *testing.T) {
	const n = 70
	notices := make([]hub.QuarantineNotice, n)
	for i := range notices {
		notices[i].Crashes = []hub.UpstreamCrash{{Born: int64(i)}}
	}
	born := func(round []hub.QuarantineNotice) (out []int64) {
		for _, notice := range round {
			out = append(out, notice.Crashes[0].Born)
		}
		return out
	}
	assert.DeepEqual(t, born(latest(notices)), []int64{0, n - 3, n - 2, n - 1})
	seen := map[int64]bool{}
	for turn := range n / (maxNotices - 1) {
		round := born(inTurn(notices, turn))
		assert.Equal(t, len(round), maxNotices)
		assert.Equal(t, round[0], int64(0))
		for _, b := range round {
			seen[b] = true
		}
	}
	assert.Equal(t, len(seen), n)
	few := notices[:maxNotices]
	assert.DeepEqual(t, latest(few), few)
	assert.DeepEqual(t, inTurn(few, 5), few)
}
