package exchange_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// peer is a process that others reach by pipes, so that it works in virtual time. It counts the exchanges with it.
type peer struct {
	id      string
	role    string
	catalog *catalog.Catalog
	calls   atomic.Int64
	// client is the exchange client of the process, nil if it has none.
	client atomic.Pointer[exchange.Client]
	// received and replied are called with each request and reply unless they are nil.
	received func(*message.ExchangeRequest)
	replied  func(*message.ExchangeReply)
	server   *drpcserver.Server
}

// Exchange counts the calls and forwards them to the catalog.
func (p *peer) Exchange(ctx context.Context, r *message.ExchangeRequest) (*message.ExchangeReply, error) {
	p.calls.Add(1)
	if p.received != nil {
		p.received(r)
	}
	server := exchange.NewServer(p.catalog, p.record)
	if client := p.client.Load(); client != nil {
		server = client.NewServer(p.record)
	}
	reply, err := server.Exchange(ctx, r)
	if err == nil && p.replied != nil {
		p.replied(reply)
	}
	return reply, err
}

func (p *peer) Describe(context.Context, *message.DescribeRequest) (*message.Member, error) {
	m := p.record()
	return exchange.ToMember(&m), nil
}

func (p *peer) record() hub.Member {
	return hub.Member{Id: p.id, Role: p.role, Address: p.id, Region: "r", Incarnation: 1, Sequence: 1, State: hub.StateServing}
}

func newPeer(t *testing.T, id, role string, epoch uint64) *peer {
	t.Helper()
	p := &peer{id: id, role: role, catalog: catalog.New(epoch)}
	mux := drpcmux.New()
	assert.NilError(t, message.DRPCRegisterPeer(mux, p))
	p.server = drpcserver.New(mux)
	return p
}

// withPeers returns an entry process and its two neighbours, another entry process and a side process, all of which know
// each other.
func withPeers(t *testing.T) (self, entry, side *peer) {
	t.Helper()
	self, entry, side = newPeer(t, "self", hub.RoleEntry, 1), newPeer(t, "entry", hub.RoleEntry, 2), newPeer(t, "side", hub.RoleSide, 3)
	for _, p := range []*peer{self, entry, side} {
		for _, m := range []*peer{self, entry, side} {
			p.catalog.PutMember(m.record(), m.id)
		}
	}
	return self, entry, side
}

// connectTo returns a client that reaches peers by their IDs.
func connectTo(ctx context.Context, peers ...*peer) *link.Client {
	return link.NewClient(func(_ context.Context, address string) (net.Conn, error) {
		here, there := net.Pipe()
		for _, p := range peers {
			if p.id == address {
				go func() { _ = p.server.ServeOne(ctx, there) }()
			}
		}
		return here, nil
	})
}

// runExchange runs a client of self until ctx is done that tells entry processes at once of changes of the list.
func runExchange(ctx context.Context, self *peer, peers ...*peer) {
	connections := connectTo(ctx, peers...)
	client := exchange.NewClient(exchange.Options{
		Self: self.id, Catalog: self.catalog, Link: connections, Interval: exchange.Every(time.Second),
		Frequent: []string{mirror.DocumentUpstreams}, Prompt: func(m *hub.Member) bool { return m.Role == hub.RoleEntry },
		Log: journal.Discard().Logger(journal.State),
	})
	go func() { client.Run(ctx); _ = connections.Close() }()
}

// Guards against exchanges of all processes with each other at each change of the list of upstreams, which in a large
// deployment changes many times a second: side processes whose engines serve take it with the periodic exchanges.
func TestFrequentChangesReachOnlyThoseThatNeedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self, entry, side := withPeers(t)
		ctx, cancel := context.WithCancel(t.Context())
		runExchange(ctx, self, entry, side)
		const changes = 100
		for revision := uint64(1); revision <= changes; revision++ {
			self.catalog.PutDocument(hub.Document{Name: mirror.DocumentUpstreams, Revision: revision, Value: []byte("l")})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, entry.calls.Load() > 50, "%d exchanges with the entry process in 10 s", entry.calls.Load())
		assert.Assert(t, side.calls.Load() <= 2*20, "%d exchanges with the side process in 10 s", side.calls.Load())
		time.Sleep(2 * time.Second)
		for _, p := range []*peer{entry, side} {
			assert.Equal(t, p.catalog.Document(mirror.DocumentUpstreams).Revision, uint64(changes), p.id)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against changes of other documents that wait for the periodic exchange.
func TestOtherChangesReachAllNeighboursAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self, entry, side := withPeers(t)
		ctx, cancel := context.WithCancel(t.Context())
		runExchange(ctx, self, entry, side)
		time.Sleep(20 * time.Second)
		for revision := uint64(1); revision <= 10; revision++ {
			self.catalog.PutDocument(hub.Document{Name: mirror.DocumentConfiguration, Revision: revision, Value: []byte("c")})
			time.Sleep(200 * time.Millisecond)
			for _, p := range []*peer{entry, side} {
				assert.Equal(t, p.catalog.Document(mirror.DocumentConfiguration).Revision, revision, p.id)
			}
		}
		cancel()
		synctest.Wait()
	})
}
