package directory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// era returns a revision in an era of the store.
func era(t *testing.T, n, revision uint64) uint64 {
	t.Helper()
	out, err := hub.StoreRevision(n, revision)
	assert.NilError(t, err)
	return out
}

// evacuate adds directives that take failure domains out of service, for a directory that runs.
func (f *fixture) evacuate(revision uint64, domains ...string) {
	f.t.Helper()
	entries := []listing.Entry{}
	for _, d := range domains {
		entries = append(entries, listing.Entry{Key: desired.EvacuatePrefix + d, Value: []byte("{}"), Revision: revision})
	}
	f.catalog.PutDocument(hub.Document{Name: mirror.DocumentDirectives, Revision: revision, Value: encoded(f.t, entries)})
}

// Guards against a copy of the store bringing back a desired state that is older than the one in force.
func TestOlderDesiredStateOfARestoredStoreIsNotTaken(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(era(t, 1, 24), 11)
	f.configure(era(t, 2, 22), 4)
	assert.Equal(t, f.directory.Current().Configuration.Version, uint64(11))
	f.configure(era(t, 2, 23), 11)
	f.configure(era(t, 2, 24), 14)
	assert.Equal(t, f.directory.Current().Configuration.Version, uint64(14))
	f.configure(era(t, 3, 22), 15)
	assert.Equal(t, f.directory.Current().Configuration.Version, uint64(15))
}

// Guards against a target version that a copy of the store does not have being forgotten or lowered.
func TestTargetVersionOutlastsARestoreOfTheStore(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(era(t, 1, 1), 1)
	f.target(era(t, 1, 2), 3)
	f.target(era(t, 2, 1), 2)
	assert.Equal(t, f.directory.Current().Service("engine").Target.Version, uint64(3))
	f.put(mirror.DocumentDirectives, era(t, 3, 1), []listing.Entry{})
	assert.Equal(t, f.directory.Current().Service("engine").Target.Version, uint64(3))
}

// Guards against a failure domain getting requests again because a copy of the store lacks its evacuation, and against one
// that stays out of service although the operator does not write that again.
func TestEvacuationOutlastsARestoreOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		ctx, cancel := context.WithCancel(t.Context())
		go f.directory.Run(ctx)
		defer synctest.Wait()
		defer cancel()
		put := func(revision uint64, domains ...string) {
			f.evacuate(revision, domains...)
			synctest.Wait()
		}
		out := func(domain string) bool { return f.directory.Current().Evacuated[domain] }
		put(era(t, 1, 24), "given-up", "written-again")
		put(era(t, 2, 22))
		assert.Assert(t, out("written-again") && out("given-up"))
		time.Sleep(time.Second)
		put(era(t, 2, 23), "written-again")
		assert.Assert(t, out("written-again") && out("given-up"))
		put(era(t, 2, 24))
		assert.Assert(t, !out("written-again"), "taken back after it was written again")
		assert.Assert(t, out("given-up"))
		time.Sleep(4 * time.Second)
		synctest.Wait()
		assert.Assert(t, !out("given-up"), "not written again")
	})
}
