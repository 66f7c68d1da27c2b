package directory_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// Guards against an engine that has given up a version and is taken to hold a newer one of which it has only some layers.
func TestUpstreamWithSomeLayersHoldsNoVersion(t *testing.T) {
	f := withTestDirectory(t)
	f.put(mirror.DocumentConfiguration, 1, hub.Configuration{Version: 1, Services: []hub.Service{{Name: "s", Engine: &hub.EngineModel{Model: "m", Layers: 2}}}})
	for n, want := range []uint64{2, 0, 0, 2} {
		layers := n - 1
		i := hub.Instance{Id: "i", Service: "s", Address: "10.0.0.1:80", Born: 1, Version: 2, Layers: layers, Sequence: uint64(layers + 2)}
		revision := uint64(layers + 3)
		f.put(mirror.DocumentUpstreams, revision, []listing.Entry{{Key: desired.UpstreamPrefix + "i", Value: encoded(t, i), Revision: revision}})
		assert.Equal(t, f.directory.Current().Service("s").Upstreams[0].Version, want, "%d layers", layers)
	}
}
