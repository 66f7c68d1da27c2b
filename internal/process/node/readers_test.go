package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/delegate"
)

// settled exceeds the time for which a watch waits that a process began before it knew of the others.
const settled = 3 * time.Second

// withManyEntries starts 12 entry processes in two failure domains and waits until they have divided the reading of the
// store among them. Before all know each other, more of them read; the number of their watches may be the final one by
// chance, since a reader pauses between two.
func withManyEntries(t *testing.T) *testbed.Testbed {
	t.Helper()
	b, err := testbed.Start(testbed.Options{
		Places:  []deployment.Place{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}},
		Entries: 12, Engines: 4, Switch: 3 * time.Second, Journal: journal.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(b.Stop)
	since := time.Now()
	waitUntil(t, "few processes follow the store", func() bool {
		following := b.Site.Store.Following()
		if following > 2*2*delegate.PerDomain {
			since = time.Now()
		}
		return following == 2*2*delegate.PerDomain && time.Since(since) > settled
	})
	return b
}

// Guards against calls to the store that grow with the entry processes, and against changes that reach only the processes
// that read the store.
func TestFewProcessesReadTheStore(t *testing.T) {
	b := withManyEntries(t)
	b.Site.SetTargetVersion(2)
	waitUntil(t, "all engines hold version 2", func() bool { return b.Held(2) == 4 })
	revision := b.Entries[0].ConfigurationRevision()
	b.Site.Configure(2, "another key")
	for _, e := range b.Entries {
		waitUntil(t, "the configuration reaches all processes", func() bool { return e.ConfigurationRevision() > revision })
	}
	assert.Assert(t, b.Site.Store.Following() <= 2*2*delegate.PerDomain, "%d watches", b.Site.Store.Following())
}

// When the processes that read the store stop, others follow it.
func TestOthersReadTheStoreWhenReadersStop(t *testing.T) {
	b := withManyEntries(t)
	for _, e := range b.Entries[:8] {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		go func() { defer cancel(); e.Stop(ctx) }()
	}
	waitUntil(t, "the others follow the store", func() bool { return b.Site.Store.Following() == 2*2*delegate.PerDomain })
	revision := b.Entries[11].ConfigurationRevision()
	b.Site.Configure(2, "another key")
	for _, e := range b.Entries[8:] {
		waitUntil(t, "the configuration reaches the others", func() bool { return e.ConfigurationRevision() > revision })
	}
	status, _, err := sendRequest(t, b.Addresses[11].Callers, "probe")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized, "the key of the request was withdrawn")
}
