package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// switchLimit is the time within which a version must replace older ones, olderServes the part of it in which older ones
	// have to serve.
	switchLimit = 8 * time.Second
	olderServes = 6 * time.Second
	// probeInterval is the interval between two requests.
	probeInterval = 50 * time.Millisecond
)

// Guards against an entry process that restarts just after a version was named and finds no upstream before the first engine
// has loaded it, because it takes the version for older than it is.
func TestRestartedEntryServesOlderVersionWhileTheNamedOneIsFetched(t *testing.T) {
	b, err := testbed.Start(testbed.Options{
		Places:  []deployment.Place{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}},
		Entries: 2, Engines: 2, Switch: switchLimit, Journal: journal.Discard(),
		Site: standin.SiteOptions{OriginBytesPerSecond: 1},
	})
	assert.NilError(t, err)
	t.Cleanup(b.Stop)
	f := &fleet{Testbed: b, site: b.Site, entries: b.Entries}
	for _, a := range b.Addresses {
		f.callers, f.ready = append(f.callers, a.Callers), append(f.ready, a.Ready)
	}
	for _, vm := range b.Vms {
		f.engines = append(f.engines, vm.Engine)
	}
	f.waitUntilServing(t)
	named := time.Now()
	f.site.SetTargetVersion(2)
	assert.NilError(t, b.RestartEntry(1))
	f.waitUntilServing(t)
	for i := 0; time.Since(named) < olderServes; i++ {
		for _, entry := range f.callers {
			status, body, err := sendRequest(t, entry, fmt.Sprintf("probe-%d", i))
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK, "%v after the version was named, %s: %s", time.Since(named), entry, body)
		}
		time.Sleep(probeInterval)
	}
}
