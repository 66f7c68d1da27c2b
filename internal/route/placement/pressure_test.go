package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that are told to come back late although an overload is over, or early although it lasts.
func TestPressureFollowsTheLastSecond(t *testing.T) {
	var p pressure
	now := time.Now()
	assert.Equal(t, p.share(now), 0.0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		p.add(true, now)
	}
	assert.Assert(t, p.share(now) > 0.99)
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		p.add(false, now)
	}
	assert.Assert(t, p.share(now) < 0.05)
	assert.Equal(t, p.share(now.Add(time.Minute)), 0.0)
}
