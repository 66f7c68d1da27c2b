package directory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/directory"
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

// list adds a list of upstreams to a directory that does not run.
func (f *fixture) list(revision uint64, instances ...hub.Instance) {
	f.t.Helper()
	entries := []listing.Entry{}
	for _, i := range instances {
		i.Service, i.Address, i.Domain, i.Slots = "engine", "10.0.0.1:80", "a", 4
		entries = append(entries, listing.Entry{Key: desired.UpstreamPrefix + i.Id, Value: encoded(f.t, i), Revision: revision})
	}
	f.put(mirror.DocumentUpstreams, revision, entries)
}

// listed returns the runs of the upstreams in the snapshot, in the order of their IDs.
func (f *fixture) listed() []directory.Key {
	f.t.Helper()
	out := []directory.Key{}
	for _, u := range f.directory.Current().Service("engine").Upstreams {
		out = append(out, u.Key())
	}
	return out
}

// Guards against an upstream that has left getting requests again because a copy of the store still lists it.
func TestUpstreamThatHasLeftDoesNotComeBackWithACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(era(t, 1, 1), 1)
		left, stays := hub.Instance{Id: "left", Born: 1, Sequence: 5}, hub.Instance{Id: "stays", Born: 1, Sequence: 5}
		f.list(era(t, 1, 20), left, stays)
		f.list(era(t, 1, 24), stays)
		f.list(era(t, 2, 20), left, stays)
		assert.DeepEqual(t, f.listed(), []directory.Key{{Id: "stays", Born: 1}})
		left.Sequence++
		f.list(era(t, 2, 21), left, stays)
		assert.DeepEqual(t, f.listed(), []directory.Key{{Id: "left", Born: 1}, {Id: "stays", Born: 1}})
	})
}

// Guards against requests to an upstream that is leaving, or to an earlier run of one, because a copy of the store has an
// older entry of it.
func TestOlderEntryOfACopyDoesNotReplaceANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(era(t, 1, 1), 1)
		f.list(era(t, 1, 24), hub.Instance{Id: "leaves", Born: 1, Sequence: 6, Leaving: true}, hub.Instance{Id: "restarted", Born: 2, Sequence: 1})
		older := []hub.Instance{{Id: "leaves", Born: 1, Sequence: 5}, {Id: "restarted", Born: 1, Sequence: 9}}
		f.list(era(t, 2, 20), older...)
		want := []directory.Key{{Id: "leaves", Born: 1}, {Id: "restarted", Born: 2}}
		assert.DeepEqual(t, f.listed(), want)
		assert.Assert(t, f.directory.Current().Service("engine").Upstreams[0].Leaving)
		older[0].Sequence = 7
		f.list(era(t, 2, 21), older...)
		assert.Assert(t, f.directory.Current().Service("engine").Upstreams[0].Leaving, "an upstream that leaves does not come back")
	})
}

// Guards against upstreams that go out of service because a copy of the store lacks their entries, which they write again
// soon, and against ones that stay although they do not.
func TestUpstreamsThatACopyLacksStayForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(era(t, 1, 1), 1)
		back, gone := hub.Instance{Id: "back", Born: 1, Sequence: 1}, hub.Instance{Id: "gone", Born: 1, Sequence: 1}
		f.list(era(t, 1, 24), back, gone)
		f.list(era(t, 2, 20))
		assert.Equal(t, len(f.listed()), 2)
		time.Sleep(2 * time.Second)
		f.list(era(t, 2, 21), back)
		assert.Equal(t, len(f.listed()), 2)
		time.Sleep(2 * time.Second)
		f.directory.Rebuild()
		assert.DeepEqual(t, f.listed(), []directory.Key{{Id: "back", Born: 1}})
		f.list(era(t, 2, 22))
		assert.Equal(t, len(f.listed()), 0, "removed in this era of the store")
	})
}

// Guards against upstreams that go out of service because their entries expired during an outage of the store or shortly after it,
// and against ones that stay although they do not come back.
func TestUpstreamsWhoseEntriesExpiredStayForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		back, gone, late := hub.Instance{Id: "back", Born: 1}, hub.Instance{Id: "gone", Born: 1}, hub.Instance{Id: "late", Born: 1}
		leaving := hub.Instance{Id: "leaving", Born: 1, Leaving: true}
		f.list(20, back, gone, late, leaving)
		f.put(mirror.DocumentReturn, 23, []byte{})
		f.list(23, late)
		assert.DeepEqual(t, f.listed(), []directory.Key{{Id: "back", Born: 1}, {Id: "gone", Born: 1}, {Id: "late", Born: 1}, {Id: "leaving", Born: 1}})
		assert.Assert(t, f.directory.Current().Service("engine").Upstreams[3].Leaving)
		time.Sleep(500 * time.Millisecond)
		f.list(24)
		assert.Equal(t, len(f.listed()), 4)
		time.Sleep(time.Second)
		f.list(25, back)
		assert.Equal(t, len(f.listed()), 4)
		time.Sleep(500 * time.Millisecond)
		f.directory.Rebuild()
		assert.DeepEqual(t, f.listed(), []directory.Key{{Id: "back", Born: 1}})
		f.list(26)
		assert.Equal(t, len(f.listed()), 0, "left after the time of grace")
	})
}

// Guards against upstreams that stay after they have left, because a process has just learned of an outage before its start.
func TestOutageBeforeTheStartKeepsNoUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.put(mirror.DocumentReturn, 20, []byte{})
		f.list(20, hub.Instance{Id: "left", Born: 1})
		f.list(21)
		assert.Equal(t, len(f.listed()), 0)
	})
}
