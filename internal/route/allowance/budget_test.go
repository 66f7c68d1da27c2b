package allowance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/allowance"
)

const window = 10 * time.Second

func withTestRetryBudget(b allowance.Bounds, entries int) *allowance.RetryBudget {
	return allowance.NewRetryBudget(window, func() allowance.Bounds { return b }, func() int { return entries })
}

func taken(r *allowance.RetryBudget, tries int) int {
	n := 0
	for range tries {
		if r.Take("s") {
			n++
		}
	}
	return n
}

// TestShareOfAllStaysWithinTheBound checks that the retries of 6 entry processes together stay within Ratio and Slack,
// 586 in total, and that more than 300 are allowed. If each process granted itself the whole Slack, they would exceed
// the bound.
func TestShareOfAllStaysWithinTheBound(t *testing.T) {
	b := allowance.Bounds{Ratio: 0.2, Slack: 106}
	total := 0
	for range 6 {
		r := withTestRetryBudget(b, 6)
		for range 400 {
			r.CountRequest("s")
		}
		total += taken(r, 1000)
	}
	assert.Assert(t, float64(total) <= 0.2*2400+106, total)
	assert.Assert(t, total > 300, total)
}

// TestRetriesExpireWithTheWindow uses up the budget. It must stay used up within the window, or more retries than the
// bound would be sent, and be available again after it, or a service would get no more retries.
func TestRetriesExpireWithTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := withTestRetryBudget(allowance.Bounds{Slack: 10}, 1)
		first := taken(r, 100)
		assert.Assert(t, first > 0 && first <= 10)
		time.Sleep(window / 2)
		assert.Equal(t, taken(r, 100), 0)
		time.Sleep(window/2 + window/10)
		assert.Equal(t, taken(r, 100), first)
	})
}

// TestServicesHaveSeparateBudgets guards against a failing service using up the retries of the others.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	r := withTestRetryBudget(allowance.Bounds{Slack: 10}, 1)
	assert.Assert(t, taken(r, 100) > 0)
	assert.Assert(t, r.Take("other"))
}

// Guards against a division by zero in each request, with a window that the settings allow.
func TestShortestWindow(t *testing.T) {
	b := allowance.Bounds{Slack: 10}
	r := allowance.NewRetryBudget(time.Nanosecond, func() allowance.Bounds { return b }, func() int { return 1 })
	r.CountRequest("s")
	assert.Assert(t, r.Take("s"))
}
