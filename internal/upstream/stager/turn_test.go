package stager

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const turnBound = 8 * time.Second

// turnStager returns the stager of one of n engines of a service whose target version 2 was set the given time ago.
func turnStager(n, self int, since time.Duration) (*Stager, *directory.Service) {
	c := catalog.New(1)
	log := journal.Discard().Logger(journal.Placement)
	d := directory.New(directory.Options{Catalog: c, Decoder: desired.Decoder{}, Log: log})
	p := desired.Publisher{Catalog: c}
	p.PublishConfiguration(hub.Configuration{Version: 1, Services: []hub.Service{{Name: "s", Engine: &hub.EngineModel{Model: "m"}}}})
	var instances []hub.Instance
	for i := range n {
		instances = append(instances, hub.Instance{Id: fmt.Sprintf("i-%03d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Born: 1})
	}
	p.PublishUpstreams(instances...)
	d.Rebuild()
	service := *d.Current().Service("s")
	service.Target = directory.Target{Version: 2, Named: []directory.Named{{Version: 2, Since: time.Now().Add(-since)}}}
	return New(Options{Self: fmt.Sprintf("10.0.0.%d:7700", self), Service: "s", Directory: d, Catalog: c, SwitchBound: func() time.Duration { return turnBound }}), &service
}

// Guards against streams that begin at an engine right before it loads, only to be cut off, and against a service of which
// all engines are quiet at once, because the time over which their loads are spread is short.
func TestEnginesAreQuietBeforeTheyLoad(t *testing.T) {
	const engines = 20
	last := turnBound - fraction(turnBound, loadPart)
	for _, remaining := range []time.Duration{4 * time.Second, 800 * time.Millisecond, 0} {
		t.Run(remaining.String(), func(t *testing.T) {
			quiet, turns := 0, map[time.Duration]bool{}
			for i := range engines {
				s, service := turnStager(engines, i, last-remaining)
				f := &fetch{version: 2, heldAt: time.Now()}
				s.fetches[2] = f
				turn := s.turn(service.Target, 1, f)
				assert.Assert(t, !turn.load.Before(f.heldAt.Add(turn.quiet)) && turn.load.Before(f.heldAt.Add(remaining+100*time.Millisecond)))
				assert.Assert(t, turn.quiet <= quietTime && (turn.quiet > 0) == (remaining > 0), "quiet for %s", turn.quiet)
				turns[turn.load.Sub(f.heldAt).Round(time.Millisecond)] = true
				if s.loadsSoon(service, 1) {
					quiet++
				}
				assert.Assert(t, !s.loadsSoon(service, 2), "the engine has the target")
				assert.Assert(t, !s.loadsSoon(service, 0), "the engine serves nothing")
			}
			assert.Assert(t, quiet <= engines/4, "%d engines are quiet at once", quiet)
			assert.Assert(t, remaining == 0 || len(turns) > engines*3/4, "%d different turns", len(turns))
		})
	}
}

// Guards against entry processes that learn of a load only when it begins: it is told from the time at which the version is named,
// and does not come earlier once the version has been fetched.
func TestNextLoadIsToldBeforeTheFetchEnds(t *testing.T) {
	const engines, since = 20, 3 * time.Second
	first := fraction(turnBound, fetchPart) - since
	last := turnBound - fraction(turnBound, loadPart) - since
	for i := range engines {
		s, service := turnStager(engines, i, since)
		told := s.loadIn(service, 1)
		assert.Assert(t, told > first-100*time.Millisecond && told < last, "load in %s", told)
		s.fetches[2] = &fetch{version: 2, heldAt: time.Now()}
		assert.Assert(t, told-s.loadIn(service, 1) < 100*time.Millisecond)
		assert.Equal(t, s.loadIn(service, 0), time.Duration(0), "the engine serves nothing")
		assert.Equal(t, s.loadIn(service, 2), time.Duration(0), "the engine has the target")
	}
}

// Guards against engines that get no more long responses because a version that can't be fetched was due to be loaded.
func TestNoLoadIsToldWhileTheFetchIsLate(t *testing.T) {
	s, service := turnStager(1, 0, turnBound)
	assert.Equal(t, s.loadIn(service, 1), time.Duration(0))
	s.fetches[2] = &fetch{version: 2, heldAt: time.Now()}
	assert.Equal(t, s.loadIn(service, 1), minLoadIn)
}
