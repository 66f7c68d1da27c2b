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

// Guards against streams that begin at an engine right before it loads, only to be cut off, and against a load that is put
// off although the engine serves no longer.
func TestEnginesAreQuietBeforeTheyLoad(t *testing.T) {
	const engines = 20
	soon, turns := 0, map[time.Duration]bool{}
	for i := range engines {
		s, service := turnStager(engines, i, 3*time.Second)
		f := &fetch{version: 2, heldAt: time.Now()}
		s.fetches[2] = f
		wait := time.Until(s.loadTime(service.Target, 1, f))
		assert.Assert(t, wait > quietTime-100*time.Millisecond && wait < turnBound-3*time.Second, "engine %d loads after %s", i, wait)
		turns[wait.Round(100*time.Millisecond)] = true
		if s.loadsSoon(service, 1) {
			soon++
		}
		assert.Assert(t, !s.loadsSoon(service, 2), "the engine has the target")
		assert.Assert(t, !s.loadsSoon(service, 0), "the engine serves nothing")
	}
	assert.Assert(t, soon >= 1 && soon <= engines/4, "%d engines are quiet at once", soon)
	assert.Assert(t, len(turns) > engines*3/4, "%d different turns", len(turns))

	late, service := turnStager(engines, 0, turnBound)
	f := &fetch{version: 2, heldAt: time.Now()}
	late.fetches[2] = f
	assert.Assert(t, late.loadTime(service.Target, 1, f).Equal(f.heldAt))
}
