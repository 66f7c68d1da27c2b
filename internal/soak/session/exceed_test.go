package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// Guards against callers outside the limits that are recorded as a disturbance, which would excuse late and cut requests of
// other callers.
func TestExceedingTheLimitsIsNoDisturbance(t *testing.T) {
	s := &session{record: record.New(), cluster: &cluster.Cluster{}}
	s.apply(t.Context(), plan.Fault{Kind: plan.EndlessHeaders, Target: "entry-0", For: 10 * time.Millisecond})
	seen := s.record.Seen()
	assert.Equal(t, len(seen.Disturbances), 0)
	assert.Equal(t, len(seen.Changes), 1)
	assert.Equal(t, seen.Changes[0].Kind, record.OutsideLimits)
	assert.Assert(t, seen.Changes[0].Until > 0)
}
