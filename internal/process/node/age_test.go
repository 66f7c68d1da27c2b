package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// Guards against a process without a target version whose metric looks as if one had just been named.
func TestAgeOfTheTargetVersionIsKnownOnlyOnceOneIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New(1)
		n := &node{directory: directory.New(directory.Options{Catalog: c, Decoder: desired.Decoder{}, Log: journal.Discard().Logger(journal.State)})}
		assert.Equal(t, n.targetVersionAge(), -1.0)
		(&desired.Publisher{Catalog: c}).PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		n.directory.Rebuild()
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, n.targetVersionAge(), 2.5)
	})
}
