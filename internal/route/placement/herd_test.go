package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// Guards against entry processes that all send their prompts to the engine that runs least: they see the same reports for
// some tenths of a second, in which an engine that has just loaded weights, and so runs nothing, received more prompts than
// it can read within the objective. Their callers waited for each other, and the streams of the engine paused.
//
// The load is that of a deployment with 15 entry processes and 99 engines in which 90 prompts arrive between two reports.
func TestEntryProcessesDoNotCrowdAnIdleEngine(t *testing.T) {
	const (
		entries, engines = 15, 99
		// running is the number of requests at each engine but the idle one.
		running       = 8
		arrivals      = 90
		promptTokens  = 1290
		readPerSecond = 30600
		// objective is the latency objective in seconds.
		objective = 0.4
		rounds    = 40
	)
	engine := &hub.EngineModel{Model: "m", Slots: 12, ReadPerSecond: readPerSecond, UsualPrompt: promptTokens, Layers: 2, Chunks: 2}
	var fixtures []*fixture
	for range entries {
		f := withTestPlacement(t)
		f.entries = entries
		f.publisher.PublishConfiguration(hub.Configuration{Version: 2, Services: []hub.Service{{Name: "s", Engine: engine}}})
		f.engines(engines, 0)
		fixtures = append(fixtures, f)
	}
	atIdle := 0
	for range rounds {
		for _, f := range fixtures {
			f.report(0, hub.UpstreamReport{Held: 1, Born: 1})
			for i := 1; i < engines; i++ {
				f.report(i, hub.UpstreamReport{Held: 1, Born: 1, Running: running})
			}
		}
		var choices []placement.Choice
		for i := range arrivals {
			c := fixtures[i%entries].choose(t, &placement.Requirements{Service: "s", PromptTokens: promptTokens})
			if c.Upstream.Id == "i000" {
				atIdle++
			}
			choices = append(choices, c)
		}
		for i := range choices {
			choices[i].Release()
		}
	}
	mean, readable := float64(atIdle)/rounds, objective*readPerSecond/promptTokens
	assert.Assert(t, mean <= readable, "%.1f prompts at the idle engine, which reads %.1f within the objective", mean, readable)
	assert.Assert(t, mean >= 2*float64(arrivals)/engines, "%.1f prompts at the idle engine: it gets hardly more than the others", mean)
}
