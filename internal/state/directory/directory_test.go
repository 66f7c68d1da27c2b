package directory_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

const (
	initialTargetAge = 5 * time.Second
	switchBound      = 8 * time.Second
)

type fixture struct {
	t         *testing.T
	catalog   *catalog.Catalog
	directory *directory.Directory
}

func withTestDirectory(t *testing.T) *fixture {
	c := catalog.New(1)
	d := directory.New(directory.Options{
		Catalog: c, Decoder: desired.Decoder{}, Regions: map[string]string{"a": "north"}, InitialTargetAge: initialTargetAge, SwitchBound: switchBound,
		Log: journal.Discard().Logger(journal.State),
	})
	return &fixture{t: t, catalog: c, directory: d}
}

// put adds a document to the catalog and rebuilds the snapshot; a value that is not a []byte is encoded as JSON.
func (f *fixture) put(name string, revision uint64, value any) {
	f.t.Helper()
	data, ok := value.([]byte)
	if !ok {
		var err error
		data, err = json.Marshal(value)
		assert.NilError(f.t, err)
	}
	f.catalog.PutDocument(hub.Document{Name: name, Revision: revision, Value: data})
	f.directory.Rebuild()
}

func encoded(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return data
}

// configure adds a configuration at a revision of the store, with the given configuration version.
func (f *fixture) configure(revision, version uint64) {
	f.put(mirror.DocumentConfiguration, revision, hub.Configuration{
		Version:  version,
		Services: []hub.Service{{Name: "engine", Engine: &hub.EngineModel{Model: "m"}}},
		Routes: []hub.Route{
			{Name: "short", Host: "Example.test", PathPrefix: "/a/", Targets: []hub.Target{{Service: "engine", Weight: 1}}},
			{Name: "long", Host: "example.test", PathPrefix: "/a/b/", Targets: []hub.Target{{Service: "engine", Weight: 1}}},
		},
		Accounts: []hub.Account{{Name: "one", Keys: []string{"k"}}},
	})
}

// target adds directives at a revision of the store that set the target version of model m.
func (f *fixture) target(revision, version uint64) {
	f.put(mirror.DocumentDirectives, revision, []listing.Entry{{Key: desired.TargetPrefix + "m", Value: encoded(f.t, hub.ModelTarget{Model: "m", Version: version}), Revision: revision}})
}

func TestLongestPrefixWins(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(5, 1)
	s := f.directory.Current()
	assert.Equal(t, s.Route("example.TEST:80", "/a/b/c").Name, "long")
	assert.Equal(t, s.Route("example.test", "/a/bc").Name, "short")
	assert.Assert(t, s.Route("example.test", "/x/") == nil)
	assert.Assert(t, s.Route("other.test", "/a/") == nil)
	assert.Equal(t, s.Account("k").Name, "one")
}

func TestUnreadableStateLeavesTheLastInForce(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(5, 1)
	f.put(mirror.DocumentConfiguration, 6, []byte("{"))
	assert.Equal(t, f.directory.Current().Configuration.Version, uint64(1))
	f.configure(7, 3)
	assert.Equal(t, f.directory.Current().Configuration.Version, uint64(3))
}

func TestInvalidEntryIsSkipped(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(5, 1)
	good := hub.Instance{Id: "i", Service: "engine", Domain: "a", Born: 4}
	f.put(mirror.DocumentUpstreams, 6, []listing.Entry{
		{Key: desired.UpstreamPrefix + "bad", Value: []byte("[]"), Revision: 6},
		{Key: desired.UpstreamPrefix + "i", Value: encoded(t, good), Revision: 5},
	})
	upstreams := f.directory.Current().Service("engine").Upstreams
	assert.Equal(t, len(upstreams), 1)
	assert.Equal(t, upstreams[0].Region, "north")
}

// Guards against a later target version extending the deadline of an earlier one: if only the time of the newest
// version were kept, version 2 would not become due 8 s after it was set.
func TestEachVersionIsDueByItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.put(mirror.DocumentDirectives, 1, []listing.Entry{})
		f.target(2, 2)
		time.Sleep(2 * time.Second)
		f.target(3, 3)
		target := f.directory.Current().Service("engine").Target
		assert.Equal(t, target.Version, uint64(3))
		assert.Equal(t, target.Due(time.Now(), 8*time.Second), uint64(0))
		time.Sleep(6 * time.Second)
		assert.Equal(t, target.Due(time.Now(), 8*time.Second), uint64(2))
		time.Sleep(2 * time.Second)
		assert.Equal(t, target.Due(time.Now(), 8*time.Second), uint64(3))
		oldest, ok := target.After(1)
		assert.Assert(t, ok)
		assert.Equal(t, oldest.Version, uint64(2))
	})
}

// Guards against a restart extending the deadline of a target version. A process that starts does not know when the
// version was set, so it must assume an age instead of allowing the full time again.
func TestVersionFoundAtTheStartIsDueSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.target(2, 2)
		target := f.directory.Current().Service("engine").Target
		assert.Equal(t, target.Due(time.Now(), 8*time.Second), uint64(0))
		assert.Equal(t, target.Due(time.Now().Add(3*time.Second), 8*time.Second), uint64(2))
	})
}

func TestTargetVersionNeverDecreases(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(1, 1)
	f.target(2, 4)
	f.target(3, 2)
	assert.Equal(t, f.directory.Current().Service("engine").Target.Version, uint64(4))
}

func TestEvacuationIsRevoked(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(1, 1)
	f.put(mirror.DocumentDirectives, 2, []listing.Entry{{Key: desired.EvacuatePrefix + "a", Value: []byte("{}"), Revision: 2}})
	assert.Assert(t, f.directory.Current().Evacuated["a"])
	f.put(mirror.DocumentDirectives, 3, []listing.Entry{})
	assert.Assert(t, !f.directory.Current().Evacuated["a"])
}

// A list that cannot be decoded must not take all upstreams out of service.
func TestUnreadableListKeepsUpstreams(t *testing.T) {
	f := withTestDirectory(t)
	f.configure(5, 1)
	instance := hub.Instance{Id: "i", Service: "engine", Address: "10.0.0.1:80", Domain: "a", Born: 1}
	f.put(mirror.DocumentUpstreams, 6, []listing.Entry{{Key: desired.UpstreamPrefix + "i", Value: encoded(t, instance), Revision: 6}})
	f.put(mirror.DocumentUpstreams, 7, []byte("no list"))
	f.configure(8, 2)
	s := f.directory.Current().Service("engine")
	assert.Equal(t, len(s.Upstreams), 1)
	assert.Equal(t, s.Target.Version, uint64(1))
}
