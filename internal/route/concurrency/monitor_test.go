package concurrency_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/concurrency"
)

// Guards against changes of limits that are not logged or counted, and against a line for each request.
func TestChangesOfStateAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		set := metrics.NewSet()
		m := concurrency.NewMonitor(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, set, func() int { return 7 })
		p := concurrency.NewPeers(concurrency.Settings{Enabled: true, InitialShare: 0.25}, m, func() int { return 1 })
		l := p.NewLimiter("i1", testSlots, true)
		for range 50 {
			l.FirstEvent(normal, 0)
		}
		for range 50 {
			l.Failed()
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		assert.Equal(t, len(lines), 3, out.String())
		for i, want := range []string{`"Cause":"just listed","Limit":3,"Slots":12`, `"message":"upstream gets all of its slots"`, `"Cause":"failures","Limit":6`} {
			assert.Assert(t, strings.Contains(lines[i], want), lines[i])
		}
		var text bytes.Buffer
		set.WritePrometheus(&text)
		for _, want := range []string{"oriolehub_upstreams_below_slots 7", "oriolehub_concurrency_growths_total 9", "oriolehub_concurrency_shrinks_total 4"} {
			assert.Assert(t, strings.Contains(text.String(), want+"\n"), "%s lacks %s", text.String(), want)
		}
	})
}

// Guards against a log that many upstreams fill whose limits change all the time.
func TestLogLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		m := concurrency.NewMonitor(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, metrics.NewSet(), func() int { return 0 })
		p := concurrency.NewPeers(concurrency.Settings{Enabled: true, InitialShare: 0.25}, m, func() int { return 1 })
		for range 1000 {
			p.NewLimiter("i1", testSlots, true)
		}
		assert.Equal(t, strings.Count(out.String(), "\n"), 10)
		time.Sleep(time.Second)
		p.NewLimiter("i1", testSlots, true)
		assert.Assert(t, strings.Contains(out.String(), `"Suppressed":990`), out.String())
	})
}
