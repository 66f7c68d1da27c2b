package stager

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

// obedient is an engine that accepts each order.
type obedient struct{ hub.LocalUpstream }

func (obedient) Load(context.Context, hub.LoadOrder) error { return nil }

// named returns a stager of an engine for which version 2 was named just now, and its log.
func named() (*Stager, *bytes.Buffer) {
	s, _ := turnStager(1, 0, 0)
	(&desired.Publisher{Catalog: s.options.Catalog}).PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
	s.options.Directory.Rebuild()
	var logged bytes.Buffer
	s.options.Log = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
	s.options.Engine = obedient{}
	return s, &logged
}

// Guards against an engine that is late with a version, or that has none to be late with, and is not told from the others.
func TestOverdueIsTheTimeSinceTheBoundOfTheNextVersion(t *testing.T) {
	const late = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s, _ := named()
		assert.Equal(t, s.Overdue(), time.Duration(0), "not reported yet")
		s.report.Store(&hub.UpstreamReport{Held: 1})
		time.Sleep(turnBound)
		assert.Equal(t, s.Overdue(), time.Duration(0))
		time.Sleep(late)
		assert.Equal(t, s.Overdue(), late)
		s.report.Store(&hub.UpstreamReport{Held: 2})
		assert.Equal(t, s.Overdue(), time.Duration(0), "holds the target")
		s.report.Store(&hub.UpstreamReport{})
		assert.Equal(t, s.Overdue(), time.Duration(0), "serves nothing")
	})
}

// Guards against a log that does not tell whether the order of a load was late or the engine was slow to carry it out.
func TestLogTellsHowLateAnOrderAndALoadAre(t *testing.T) {
	const late, loads = time.Second, 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s, logged := named()
		service := s.options.Directory.Current().Service("s")
		f := &fetch{version: 2, heldAt: time.Now(), replica: &replica.Replica{}}
		s.fetches[2] = f
		before := hub.UpstreamReport{Held: 1, Layers: -1, Born: 1}
		s.logHeld(service, &before)
		time.Sleep(turnBound + late)
		s.orderLoad(t.Context(), service, f, 1, before)
		time.Sleep(loads)
		after := hub.UpstreamReport{Held: 2, Layers: -1, Born: 1}
		s.logHeld(service, &after)
		s.logHeld(service, &after)
		assertLine(t, logged, "load ordered", `"Due":-1000,`)
		assertLine(t, logged, "engine holds version", `"Version":2,"Before":1,`, `"SinceNamed":9250,"SinceOrdered":250,`)
	})
}

// assertLine fails the test unless exactly one line with a message has all parts.
func assertLine(t *testing.T, logged *bytes.Buffer, message string, parts ...string) {
	t.Helper()
	found := 0
	for line := range strings.Lines(logged.String()) {
		has := strings.Contains(line, `"`+message+`"`)
		for _, part := range parts {
			has = has && strings.Contains(line, part)
		}
		if has {
			found++
		}
	}
	assert.Equal(t, found, 1, "%q with %q in %s", message, parts, logged)
}
