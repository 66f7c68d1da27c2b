package guard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolehub/oriolehub/internal/bench/seeded"
)

const usualPace = 10 * time.Millisecond

func withTestGuard(t *testing.T) *Guard {
	t.Helper()
	g := New(Options{MaxConcurrent: 8, StartConcurrent: 1, SlowStartRequests: 40})
	g.Unblock(ReasonNoRules)
	g.Unblock(ReasonNotLoaded)
	return g
}

func serve(t *testing.T, g *Guard, n int, s Sample) {
	t.Helper()
	for range n {
		assert.Assert(t, g.Admit() == nil)
		g.Done(s)
	}
}

func TestLimitGrowsWithGoodAnswers(t *testing.T) {
	g := withTestGuard(t)
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
	serve(t, g, 20, Sample{Known: true, Whole: true, Pace: usualPace})
	limit, _ = g.Load()
	assert.Equal(t, limit, 4)
	serve(t, g, 100, Sample{Known: true, Whole: true, Pace: usualPace})
	limit, _ = g.Load()
	assert.Equal(t, limit, 8)
}

// TestColdTurnGoesBackToTheStart makes a warm upstream answer very slowly, without any word from it.
func TestColdTurnGoesBackToTheStart(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Known: true, Whole: true, Pace: usualPace})
	serve(t, g, coldSigns, Sample{Known: true, Whole: true, Pace: 4 * usualPace})
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
}

func TestBrokenAnswersGoBackToTheStart(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Known: true, Whole: true, Pace: usualPace})
	serve(t, g, coldSigns, Sample{Known: true})
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
}

func TestCallersWhoLeaveSayNothing(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Known: true, Whole: true, Pace: usualPace})
	serve(t, g, 10*coldSigns, Sample{})
	limit, _ := g.Load()
	assert.Equal(t, limit, 8)
}

func TestReturnBeginsSlowStart(t *testing.T) {
	g := withTestGuard(t)
	serve(t, g, 100, Sample{Known: true, Whole: true, Pace: usualPace})
	g.Block(ReasonDomainOut)
	assert.Equal(t, g.Admit().Reason, ReasonDomainOut)
	g.Unblock(ReasonDomainOut)
	limit, _ := g.Load()
	assert.Equal(t, limit, 1)
}

// TestNeverAboveTheLimit admits, ends, blocks and unblocks at random.
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
					Known: rapid.Bool().Draw(t, "known"),
					Whole: rapid.Bool().Draw(t, "whole"),
					Pace:  time.Duration(rapid.IntRange(1, 100).Draw(t, "pace")) * time.Millisecond,
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
