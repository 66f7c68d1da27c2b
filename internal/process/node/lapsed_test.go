package node_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// outage exceeds the time in which the entries of upstreams expire.
	outage = 4 * time.Second
	// writtenAgainAfter is the time after the return of the store at which upstreams have written their entries again.
	writtenAgainAfter = 1500 * time.Millisecond
)

// Guards against requests that find no upstream after an outage of the store in which the entries of all have expired.
func TestRequestsAreServedUntilExpiredEntriesAreBack(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	f.site.Store.Fail(http.StatusServiceUnavailable)
	time.Sleep(outage)
	for _, vm := range f.Vms {
		f.site.RemoveEntry(vm.Id)
	}
	f.site.Store.Fail(0)
	for began := time.Now(); time.Since(began) < writtenAgainAfter; {
		for _, entry := range f.callers {
			status, body, err := sendRequest(t, entry, "after")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK, "%v after the return: %s", time.Since(began), body)
		}
	}
	for _, vm := range f.Vms {
		f.site.WriteEntry(vm.Id, "ready")
	}
	f.waitUntilServing(t)
}

// Guards against upstreams that stay listed although their entries have not come back after an outage of the store.
func TestExpiredEntriesThatAreNotBackAreGone(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	f.site.Store.Fail(http.StatusServiceUnavailable)
	time.Sleep(outage)
	f.site.RemoveEntry(f.Vms[0].Id)
	f.site.Store.Fail(0)
	for i, e := range f.entries {
		waitUntil(t, "the upstream is gone", func() bool { return e.ListedUpstreams() == 1 })
		assert.Equal(t, f.entries[i].ListedUpstreams(), 1)
	}
}
