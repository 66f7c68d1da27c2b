package forward_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// startMargin is the time before the end of the bound by which the response of an older version must have started.
const startMargin = 150 * time.Millisecond

// replacedLog is the log and the metrics of an entry process.
type replacedLog struct {
	text lockedBuffer
	set  *metrics.Set
}

// lines returns the lines with a message.
func (l *replacedLog) lines(message string) []string {
	var out []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, `"`+message+`"`) {
			out = append(out, line)
		}
	}
	return out
}

// assertCounts compares the counters of attempts at older versions.
func (l *replacedLog) assertCounts(t *testing.T, early, late, past, ended int) {
	t.Helper()
	var text bytes.Buffer
	l.set.WritePrometheus(&text)
	for name, want := range map[string]int{
		`oriolehub_attempts_at_older_versions_total{left="over_1s"}`: early, `oriolehub_attempts_at_older_versions_total{left="under_1s"}`: late,
		`oriolehub_attempts_at_older_versions_total{left="none"}`: past, `oriolehub_attempts_ended_for_version_total`: ended,
	} {
		assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf("%s %d\n", name, want)), "want %s %d in %s", name, want, text.String())
	}
}

// Guards against a log and metrics that do not tell a request sent late to an older version from one that waited there.
func TestLogTellsHowMuchTimeAnOlderVersionHadLeft(t *testing.T) {
	const bound = 3 * time.Second
	for name, left := range map[string]time.Duration{"early": 2 * time.Second, "late": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				silent := p.upstream(after(2*bound, events(streamEvents, true)))
				logged := &replacedLog{set: metrics.NewSet()}
				f, placed, h := withVersionedEntryOptions(t, p, bound, func(o *forward.Options) {
					o.Log, o.Metrics = &log.Logger{Writer: &log.IOWriter{Writer: &logged.text}}, logged.set
				})
				f.publisher.PublishUpstreams(engineOf(silent, "silent"))
				f.publisher.PublishDirectives(hub.Directives{})
				f.refresh()
				f.publisher.PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
				f.refresh()
				placed.Refresh()
				time.Sleep(bound - startMargin - left)
				h.ServeHTTP(newRecorder(), testRequest("/stream/x"))
				time.Sleep(2 * bound)
				milliseconds := left.Milliseconds()
				assertLogged(t, logged.lines("upstream chosen"), fmt.Sprintf(`"ReplacedIn":%d,`, milliseconds), `"Held":1`)
				assertLogged(t, logged.lines("attempt failed"), `"EndedBy":"version"`, `"ReplacedIn":0,`, fmt.Sprintf(`"SinceSent":%d,`, milliseconds))
				early, late := 0, 1
				if left >= time.Second {
					early, late = 1, 0
				}
				logged.assertCounts(t, early, late, 0, 1)
			})
		})
	}
}

// Guards against lines of all requests that grow by what only those at older versions need.
func TestRequestsAtTheTargetVersionHaveNoTimeOfReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		logged := &replacedLog{set: metrics.NewSet()}
		f, placed, h := withVersionedEntryOptions(t, p, time.Second, func(o *forward.Options) {
			o.Log, o.Metrics = &log.Logger{Writer: &log.IOWriter{Writer: &logged.text}}, logged.set
		})
		f.publisher.PublishUpstreams(engineOf(p.upstream(events(streamEvents, true)), "current"))
		f.refresh()
		placed.Refresh()
		w := newRecorder()
		h.ServeHTTP(w, testRequest("/stream/x"))
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, len(logged.lines("upstream chosen")), 1)
		assert.Assert(t, !strings.Contains(logged.text.String(), "ReplacedIn"))
		logged.assertCounts(t, 0, 0, 0, 0)
	})
}
