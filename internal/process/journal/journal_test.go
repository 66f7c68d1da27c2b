package journal

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a level change that has no effect on a logger in use, or that also affects other subsystems.
func TestLevelsChangeWhileRunning(t *testing.T) {
	var out bytes.Buffer
	j, err := New(Options{Writer: &out, Level: "info"})
	assert.NilError(t, err)
	j.Logger(Routing).Debug().Msg("hidden")
	assert.NilError(t, j.SetLevel(Routing, "debug"))
	j.Logger(Routing).Debug().Msg("shown")
	j.Logger(State).Debug().Msg("hidden too")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 1)
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(lines[0]), &line))
	assert.Equal(t, line["Subsystem"], Routing)
	assert.ErrorContains(t, j.SetLevel("x", "info"), "unknown subsystem")
	assert.ErrorContains(t, j.SetLevel(All, "loud"), "unknown log level")
}

func BenchmarkRoutingLine(b *testing.B) {
	j, err := New(Options{Writer: io.Discard, Level: "info", Async: true})
	assert.NilError(b, err)
	l := j.Logger(Routing)
	b.ReportAllocs()
	for b.Loop() {
		l.Info().Str("Request", "0123456789abcdef").Str("Account", "haulage-co").Str("Group", "scaler-llm").
			Str("Upstream", "scaler-llm-002").Str("Domain", "upper-a").Float64("Score", 0.001).Int("Attempt", 1).
			Str("Other", "scaler-llm-005").Float64("OtherScore", 0.001).Msg("routed")
	}
}

// Guards against lines that are lost when several goroutines log at once. The number of lines is below the capacity of
// the queue, so none may be dropped.
func TestConcurrentLinesBelowCapacityAreWritten(t *testing.T) {
	var out bytes.Buffer
	j, err := New(Options{Writer: &out, Level: "info", Async: true})
	assert.NilError(t, err)
	const writers, lines = 8, 100
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			for range lines {
				j.Logger(Routing).Info().Str("Key", "value").Msg("line")
			}
		})
	}
	running.Wait()
	assert.NilError(t, j.Close())
	assert.Equal(t, j.Dropped(), uint64(0))
	assert.Equal(t, strings.Count(out.String(), "\n"), writers*lines)
}
