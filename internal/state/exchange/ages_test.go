package exchange_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// targetAges is a process's knowledge of ages, which records what it is told.
type targetAges struct {
	ages []hub.TargetAge

	mu      sync.Mutex
	needed  bool
	askedAt time.Time
	learned []hub.TargetAge
	// recent holds the ages of recent versions, notBefore and notAfter are the times of the ages learned last.
	recent              []hub.TargetAge
	notBefore, notAfter time.Time
}

func (a *targetAges) RecentAges() []hub.TargetAge {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recent
}

func (a *targetAges) Ages() []hub.TargetAge {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.askedAt = time.Now()
	return a.ages
}

func (a *targetAges) NeedsAges() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.needed
}

func (a *targetAges) LearnAges(ages []hub.TargetAge, notBefore, notAfter time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learned, a.notBefore, a.notAfter = append(a.learned, ages...), notBefore, notAfter
}

func (a *targetAges) takeLearned() []hub.TargetAge {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.learned
	a.learned = nil
	return out
}

func (a *targetAges) setNeeded(needed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.needed = needed
}

// withAges returns a client and the address of a server of the process p, which both know the given ages.
func (p *process) withAges(t *testing.T, ages hub.TargetAges) (*exchange.Client, string) {
	t.Helper()
	connections := link.NewClient(link.Dial)
	t.Cleanup(func() { _ = connections.Close() })
	client := exchange.NewClient(exchange.Options{
		Self: p.id, Catalog: p.catalog, Link: connections, TargetAges: ages, Log: journal.Discard().Logger(journal.State),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := drpcmux.New()
	assert.NilError(t, message.DRPCRegisterPeer(mux, client.NewServer(p.record)))
	server := link.Serve(listener, mux, func(error) {})
	t.Cleanup(server.Close)
	return client, listener.Addr().String()
}

// Guards against ages that restarted processes do not learn, or that are sent in every exchange.
func TestAgesAreToldAtTheFirstExchangeAndWhileNeeded(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	ours, theirs := &targetAges{}, &targetAges{ages: []hub.TargetAge{
		{Model: "m", Version: 3, Age: time.Second}, {Model: "m", Version: 2, Age: 7 * time.Second, Assumed: true},
	}}
	client, _ := a.withAges(t, ours)
	_, address := b.withAges(t, theirs)
	assert.NilError(t, client.Exchange(t.Context(), address, "b"))
	assert.DeepEqual(t, ours.takeLearned(), theirs.ages)
	for range 3 {
		assert.NilError(t, client.Exchange(t.Context(), address, "b"))
		assert.Equal(t, len(ours.takeLearned()), 0)
	}
	ours.setNeeded(true)
	assert.NilError(t, client.Exchange(t.Context(), address, "b"))
	assert.DeepEqual(t, ours.takeLearned(), theirs.ages)
	ours.setNeeded(false)
	assert.NilError(t, client.Exchange(t.Context(), address, "b"))
	assert.Equal(t, len(ours.takeLearned()), 0)
}

// Guards against a process that counts the age of a version from when it heard of it, though others heard of it earlier.
func TestAgesOfRecentVersionsAreToldInEachExchange(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	ours, theirs := &targetAges{}, &targetAges{recent: []hub.TargetAge{{Model: "m", Version: 3, Age: time.Second}}}
	client, _ := a.withAges(t, ours)
	_, address := b.withAges(t, theirs)
	assert.NilError(t, client.Exchange(t.Context(), address, "b"))
	ours.takeLearned()
	for range 3 {
		assert.NilError(t, client.Exchange(t.Context(), address, "b"))
		assert.DeepEqual(t, ours.takeLearned(), theirs.recent)
	}
}

// Guards against a version taken for younger than it is, which would be served too long.
func TestToldAgesIncludeTheTimeOfTheCall(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	ours, theirs := &targetAges{}, &targetAges{ages: []hub.TargetAge{{Model: "m", Version: 2, Age: time.Second + 1}}}
	client, _ := a.withAges(t, ours)
	_, address := b.withAges(t, theirs)
	assert.NilError(t, client.Exchange(t.Context(), address, "b"))
	assert.Assert(t, !ours.notBefore.After(theirs.askedAt))
	assert.Assert(t, ours.notAfter.After(theirs.askedAt))
	assert.DeepEqual(t, ours.takeLearned(), []hub.TargetAge{{Model: "m", Version: 2, Age: time.Second + time.Millisecond}})
}

func TestProcessesWithoutTargetAgesExchange(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	ours := &targetAges{needed: true}
	client, address := a.withAges(t, ours)
	assert.NilError(t, client.Exchange(t.Context(), b.address, "b"))
	assert.Equal(t, len(ours.takeLearned()), 0)
	other, _ := b.withCountedClient(t)
	assert.NilError(t, other.Exchange(t.Context(), address, "a"))
}
