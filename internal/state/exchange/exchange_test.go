package exchange_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const testTimeout = 30 * time.Second

// process is a catalog with an RPC server through which others exchange with it.
type process struct {
	id      string
	address string
	catalog *catalog.Catalog
}

func withTestProcess(t *testing.T, id string, epoch uint64) *process {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &process{id: id, address: listener.Addr().String(), catalog: catalog.New(epoch)}
	p.catalog.PutMember(p.record(), id)
	mux := drpcmux.New()
	assert.NilError(t, message.DRPCRegisterPeer(mux, exchange.NewServer(p.catalog, p.record)))
	server := link.Serve(listener, mux, func(error) {})
	t.Cleanup(server.Close)
	return p
}

func (p *process) record() hub.Member {
	return hub.Member{Id: p.id, Role: hub.RoleSide, Address: p.address, Region: "r", Incarnation: 1, Sequence: 1, State: hub.StateServing}
}

// run starts a client that runs until the test ends and exchanges with one of the seeds at the given interval.
func (p *process) run(t *testing.T, interval time.Duration, seeds ...string) {
	t.Helper()
	client := link.NewClient(link.Dial)
	c := exchange.NewClient(exchange.Options{
		Self: p.id, Catalog: p.catalog, Link: client, Interval: exchange.Every(10 * time.Millisecond),
		MoreSeeds: func() []string { return seeds }, SeedInterval: exchange.Every(interval), Log: journal.Discard().Logger(journal.State),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; _ = client.Close() })
}

// waitMembers waits until the catalog holds n members.
func (p *process) waitMembers(t *testing.T, n int) {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		changed := p.catalog.Changed()
		if len(p.catalog.Members()) == n {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("catalog of %s has %d members, want %d", p.id, len(p.catalog.Members()), n)
		}
	}
}

// Guards against separate groups that never merge: after all processes restart through different seeds, each process
// has neighbours in its own group only. Exchanges with seeds must connect the groups.
func TestGroupsThatKnowOnlyThemselvesAreJoined(t *testing.T) {
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	c, d := withTestProcess(t, "c", 3), withTestProcess(t, "d", 4)
	for _, pair := range [][2]*process{{a, b}, {b, a}, {c, d}, {d, c}} {
		pair[0].catalog.PutMember(pair[1].record(), pair[1].id)
	}
	for _, p := range []*process{a, b, c, d} {
		p.run(t, 10*time.Millisecond, a.address, c.address)
	}
	for _, p := range []*process{a, b, c, d} {
		p.waitMembers(t, 4)
	}
}

// Guards against a neighbour that accepts connections and never responds delaying replication to the others.
func TestSilentNeighbourDoesNotDelayOthers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	a, b := withTestProcess(t, "a", 1), withTestProcess(t, "b", 2)
	dead := hub.Member{Id: "dead", Role: hub.RoleSide, Address: silent.Addr().String(), Region: "r", Incarnation: 1, Sequence: 1, State: hub.StateServing}
	a.catalog.PutMember(dead, "dead")
	a.catalog.PutMember(b.record(), "b")
	a.run(t, time.Hour)
	for revision := uint64(1); revision <= 5; revision++ {
		a.catalog.PutDocument(hub.Document{Name: "x", Revision: revision, Value: []byte{byte(revision)}})
		deadline := time.After(testTimeout)
		for {
			documentsChanged := b.catalog.DocumentsChanged()
			if b.catalog.Document("x").Revision == revision {
				break
			}
			select {
			case <-documentsChanged:
			case <-deadline:
				t.Fatalf("revision %d was not replicated within the time limit", revision)
			}
		}
	}
}
