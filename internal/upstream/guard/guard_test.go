package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
)

const baselinePace = 10 * time.Millisecond

func withTestGuard(t *testing.T) *Guard {
	t.Helper()
	g := New(Options{MaxConcurrent: 8, StartConcurrent: 1, SlowStartRequests: 40})
	g.Unblock(ReasonNoRules)
	g.Unblock(ReasonNotLoaded)
	return g
}

// serve admits n requests one after the other and ends each with the given sample.
func serve(t *testing.T, g *Guard, n int, s Sample) {
	t.Helper()
	for range n {
		assert.Assert(t, g.Admit() == nil)
		g.Done(s)
	}
}

// TestLimitGrowsWithCompleteResponses guards against slow start that does not begin at StartConcurrent, grows at
// another rate than SlowStartRequests requires, or does not end at MaxConcurrent.
func TestLimitGrowsWithCompleteResponses(t *testing.T) {
	g := withTestGuard(t)
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
	serve(t, g, 20, Sample{Valid: true, Complete: true, Pace: baselinePace})
	limit, _ = g.Load()
	assert.Equal(t, limit, 4)
	serve(t, g, 100, Sample{Valid: true, Complete: true, Pace: baselinePace})
	limit, _ = g.Load()
	assert.Equal(t, limit, 8)
}

// TestColdUpstreamRestartsSlowStart guards against overloading an upstream that becomes cold without reporting it: its
// responses take four times the baseline.
func TestColdUpstreamRestartsSlowStart(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Valid: true, Complete: true, Pace: baselinePace})
	serve(t, g, maxColdStreak, Sample{Valid: true, Complete: true, Pace: 4 * baselinePace})
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
}

// TestFailedResponsesRestartSlowStart guards against a limit that stays high at an upstream whose responses fail.
func TestFailedResponsesRestartSlowStart(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Valid: true, Complete: true, Pace: baselinePace})
	serve(t, g, maxColdStreak, Sample{Valid: true})
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
}

// TestCancelledRequestsDoNotCount ends requests whose callers disconnected; these must not lower the limit.
func TestCancelledRequestsDoNotCount(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Valid: true, Complete: true, Pace: baselinePace})
	serve(t, g, 10*maxColdStreak, Sample{})
	limit, _ := g.Load()
	assert.Equal(t, limit, 8)
}

// TestUnblockRestartsSlowStart guards against overloading an upstream that was blocked while warm and may have become
// cold in the meantime.
func TestUnblockRestartsSlowStart(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Valid: true, Complete: true, Pace: baselinePace})
	g.Block(ReasonDomainOut)
	assert.Equal(t, g.Admit().Reason, ReasonDomainOut)
	g.Unblock(ReasonDomainOut)
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
}

// TestNeverAboveTheLimit admits and ends requests, blocks and unblocks in random order, and checks that no request is
// admitted above the limit or while blocked.
func TestNeverAboveTheLimit(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		g := New(Options{MaxConcurrent: 8, StartConcurrent: 1, SlowStartRequests: 10})
		g.Unblock(ReasonNoRules)
		g.Unblock(ReasonNotLoaded)
		running := 0
		reasons := rapid.SampledFrom([]Reason{ReasonDomainOut, ReasonLoading, ReasonLeaving})
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				limit, before := g.Load()
				blocked := g.Blocked()
				if refusal := g.Admit(); refusal == nil {
					assert.Assert(t, before < limit && blocked == ReasonNone, "admitted %d of %d, blocked: %q", before, limit, blocked)
					running++
				}
			},
			"done": func(t *rapid.T) {
				if running == 0 {
					t.Skip()
				}
				running--
				g.Done(Sample{
					Valid:    rapid.Bool().Draw(t, "valid"),
					Complete: rapid.Bool().Draw(t, "complete"),
					Pace:     time.Duration(rapid.IntRange(1, 100).Draw(t, "pace")) * time.Millisecond,
				})
			},
			"block":   func(t *rapid.T) { g.Block(reasons.Draw(t, "reason")) },
			"unblock": func(t *rapid.T) { g.Unblock(reasons.Draw(t, "reason")) },
			"": func(t *rapid.T) {
				limit, now := g.Load()
				assert.Equal(t, now, running)
				assert.Assert(t, limit >= 1 && limit <= 8)
			},
		})
	})
}
