package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the wait for the first event, which follows from the length of the prompt, that counts as an interval, and
// against intervals that count twice.
func TestIntervalMeter(t *testing.T) {
	var m intervalMeter
	_, complete := m.add(time.Hour)
	assert.Assert(t, !complete)
	for round := range 3 {
		var mean time.Duration
		for i := range meanOf {
			assert.Assert(t, !complete || i == 0)
			mean, complete = m.add(time.Duration(round+1) * time.Second)
		}
		assert.Assert(t, complete)
		assert.Equal(t, mean, time.Duration(round+1)*time.Second)
	}
}
