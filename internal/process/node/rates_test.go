package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/settings"
)

// Guards against a side process that reserves bandwidth for responses while its engine has no weights and so sends none, or
// that leaves none for reports.
func TestIdleEngineLeavesItsBandwidthToWeights(t *testing.T) {
	s := &settings.Node{LinkMegabits: 8}
	serving, idle := weightsRate(s, true), weightsRate(s, false)
	assert.Equal(t, serving, int64(850_000))
	assert.Equal(t, idle, int64(950_000))
	assert.Equal(t, weightsRate(&settings.Node{}, false), int64(0))
}
