package node_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/platform/standin"
)

// Guards against entries of other writers that end the processes which read the list of upstreams, keep them from following
// it, or are taken for upstreams.
func TestOddEntriesAmongTheUpstreamsAreSkipped(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	assert.NilError(t, f.site.WriteOddEntries())
	f.site.WriteEntry("engine-1", "draining")
	waitUntil(t, "the list is followed", func() bool {
		before := len(f.engines[1].Accounts())
		for _, entry := range f.callers {
			for range 4 {
				status, _, err := sendRequest(t, entry, "x")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
			}
		}
		return len(f.engines[1].Accounts()) == before
	})
	for range 20 {
		status, body, err := sendRequest(t, f.callers[0], "y")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, standin.StreamBody("y", 5))
	}
}
