package forward

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
)

// Guards against a part of a prompt that stays in quarantine for a further period because its probe was refused.
func TestProbeOfTheQuarantineIsSentWithLittleTime(t *testing.T) {
	h := &Handler{times: newResponseTimes(metrics.NewSet())}
	for range 20 {
		h.times.Completed("s", "r", time.Minute)
	}
	newExchange := func(d quarantine.Decision) *exchange {
		return &exchange{handler: h, service: "s", route: &hub.Route{Name: "r"}, deadline: time.Now().Add(time.Second), decision: d}
	}
	assert.Assert(t, newExchange(quarantine.Decision{}).timeSuffices(), "the first of 16 is a probe of the estimate")
	for range 15 {
		assert.Assert(t, !newExchange(quarantine.Decision{}).timeSuffices())
		assert.Assert(t, newExchange(quarantine.Decision{Key: "k"}).timeSuffices())
	}
}
