package allowance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/allowance"
)

const window = 10 * time.Second

func withTestRepeats(b allowance.Bounds, entries int) *allowance.Repeats {
	return allowance.NewRepeats(window, func() allowance.Bounds { return b }, func() int { return entries })
}

func taken(r *allowance.Repeats, tries int) int {
	n := 0
	for range tries {
		if r.Take("s") {
			n++
		}
	}
	return n
}

// All entry processes together must stay within ratio and slack in every window.
func TestShareOfAllStaysWithinTheBound(t *testing.T) {
	b := allowance.Bounds{Ratio: 0.2, Slack: 106}
	total := 0
	for range 6 {
		r := withTestRepeats(b, 6)
		for range 400 {
			r.Request("s")
		}
		total += taken(r, 1000)
	}
	assert.Assert(t, float64(total) <= 0.2*2400+106, total)
	assert.Assert(t, total > 300, total)
}

func TestRepeatsLeaveTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := withTestRepeats(allowance.Bounds{Slack: 10}, 1)
		first := taken(r, 100)
		assert.Assert(t, first > 0 && first <= 10)
		time.Sleep(window / 2)
		assert.Equal(t, taken(r, 100), 0)
		time.Sleep(window/2 + window/10)
		assert.Equal(t, taken(r, 100), first)
	})
}

func TestServicesDoNotShareRepeats(t *testing.T) {
	r := withTestRepeats(allowance.Bounds{Slack: 10}, 1)
	assert.Assert(t, taken(r, 100) > 0)
	assert.Assert(t, r.Take("other"))
}
