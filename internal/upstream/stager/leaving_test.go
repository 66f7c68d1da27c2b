package stager

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// Guards against a chunk that only a VM has which is about to go: the VM has read it from the origin as its duty, and is
// gone before others have fetched it. If the origin is down then, no engine gets the version.
func TestLeavingVmsHaveNoDuties(t *testing.T) {
	c := catalog.New(1)
	log := journal.Discard().Logger(journal.Placement)
	d := directory.New(directory.Options{Catalog: c, Decoder: desired.Decoder{}, Regions: map[string]string{"d": "r"}, Log: log})
	p := desired.Publisher{Catalog: c}
	p.PublishConfiguration(hub.Configuration{Version: 1, Services: []hub.Service{{Name: "s", Engine: &hub.EngineModel{Model: "m"}}}})
	p.PublishUpstreams(
		hub.Instance{Id: "earlier-run", Service: "s", Domain: "d", Address: "10.0.0.3:80", Born: 1, Leaving: true},
		hub.Instance{Id: "leaves", Service: "s", Domain: "d", Address: "10.0.0.2:80", Born: 1, Leaving: true},
		hub.Instance{Id: "next-run", Service: "s", Domain: "d", Address: "10.0.0.3:81", Born: 2},
		hub.Instance{Id: "stays", Service: "s", Domain: "d", Address: "10.0.0.1:80", Born: 1},
		hub.Instance{Id: "z-earlier-run", Service: "s", Domain: "d", Address: "10.0.0.1:79", Born: 0, Leaving: true},
	)
	d.Rebuild()
	for _, address := range []string{"10.0.0.2:7700", "10.0.0.3:7700"} {
		c.PutMember(hub.Member{Id: "side-" + address, Role: hub.RoleSide, Group: "s", Address: address, Region: "r", Incarnation: 1, Sequence: 1, State: hub.StateServing}, "x")
	}
	s := New(Options{Self: "10.0.0.9:7700", Region: "r", Service: "s", Directory: d, Catalog: c, Log: log})
	var ids []string
	for _, m := range s.participants("") {
		ids = append(ids, m.Id)
	}
	assert.DeepEqual(t, ids, []string{"10.0.0.1:7700", "10.0.0.3:7700", "10.0.0.9:7700"})
}
