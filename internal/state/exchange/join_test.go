package exchange_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// askInterval is the longest time between two questions to seeds while a process lacks its desired state.
const askInterval = 150 * time.Millisecond

// startJoining runs a client of p until ctx is done that needs the mirrored documents and has the intervals of a side
// process in a deployment of 100 processes. The function returned waits for its end.
func startJoining(ctx context.Context, p *peer, seeds []string, peers ...*peer) func() {
	p.catalog.PutMember(p.record(), p.id)
	connections := connectTo(ctx, peers...)
	client := exchange.NewClient(exchange.Options{
		Self: p.id, Catalog: p.catalog, Link: connections, Interval: exchange.Every(400 * time.Millisecond),
		Seeds: seeds, SeedInterval: exchange.Every(1100 * time.Millisecond), Required: mirror.Documents,
		Log: journal.Discard().Logger(journal.State),
	})
	p.client.Store(client)
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx); _ = connections.Close() })
	return running.Wait
}

// learn puts all required documents into the catalog of p, as a process that has read the store.
func (p *peer) learn() {
	for _, name := range mirror.Documents {
		p.catalog.PutDocument(hub.Document{Name: name, Revision: 1, Value: []byte("v")})
	}
}

// learned reports whether p has all required documents.
func (p *peer) learned() bool {
	return len(p.catalog.Revisions()) == len(mirror.Documents)
}

// Guards against processes that, after a start of all, wait for their periodic exchanges because they met neighbours without a
// desired state before the seeds had one. The seeds only answer here.
func TestAllLearnSoonAfterTheirSeedsHaveTheDesiredState(t *testing.T) {
	const sides = 24
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		seeds := []*peer{newPeer(t, "s0", hub.RoleEntry, 1), newPeer(t, "s1", hub.RoleEntry, 2), newPeer(t, "s2", hub.RoleEntry, 3)}
		all := slices.Clone(seeds)
		for i := range sides {
			all = append(all, newPeer(t, fmt.Sprint("p", i), hub.RoleSide, uint64(i+4)))
		}
		var ended []func()
		for _, p := range all[len(seeds):] {
			ended = append(ended, startJoining(ctx, p, []string{"s0", "s1", "s2"}, all...))
		}
		// By then every process has met a seed and others that have nothing.
		time.Sleep(2 * askInterval)
		for _, p := range seeds {
			p.learn()
		}
		time.Sleep(askInterval + 10*time.Millisecond)
		for _, p := range all {
			assert.Assert(t, p.learned(), "%s lacks documents %v after the seeds had them", p.id, askInterval)
		}
		cancel()
		for _, wait := range ended {
			wait()
		}
		synctest.Wait()
	})
}

// Guards against a first desired state that waits for the minimum interval between rounds, or for an exchange that hangs,
// before it is passed on: it reaches most processes through a chain of others.
func TestFirstDesiredStateIsPassedOnAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		// silent is true if a neighbour does not respond.
		silent bool
	}{{"all respond", false}, {"one is silent", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				self, other := newPeer(t, "self", hub.RoleSide, 1), newPeer(t, "other", hub.RoleSide, 2)
				self.catalog.PutMember(other.record(), other.id)
				if tc.silent {
					silent := newPeer(t, "silent", hub.RoleSide, 3)
					self.catalog.PutMember(silent.record(), silent.id)
				}
				wait := startJoining(ctx, self, nil, other)
				time.Sleep(60 * time.Millisecond)
				self.learn()
				time.Sleep(60 * time.Millisecond)
				assert.Assert(t, other.learned())
				cancel()
				wait()
				synctest.Wait()
			})
		})
	}
}

// Guards against frequent questions in calm operation, and against those that never end because a document does not exist.
func TestSeedsAreAskedSeldomOnceJoined(t *testing.T) {
	for _, tc := range []struct {
		name    string
		learned bool
		// joining is the time after which seeds must not be asked frequently any more.
		joining time.Duration
	}{{"desired state known", true, 0}, {"no desired state", false, 11 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				self, seed, other := newPeer(t, "self", hub.RoleSide, 1), newPeer(t, "seed", hub.RoleEntry, 2), newPeer(t, "other", hub.RoleSide, 3)
				if tc.learned {
					self.learn()
				}
				self.catalog.PutMember(other.record(), other.id)
				wait := startJoining(ctx, self, []string{"seed"}, seed, other)
				time.Sleep(tc.joining)
				before := seed.calls.Load()
				time.Sleep(22 * time.Second)
				// The seed is a neighbour too: it is asked in each round and at the interval for seeds.
				calls := seed.calls.Load() - before
				assert.Assert(t, calls <= 2*(22*1000/400+22*1000/1100), "%d exchanges with the seed in 22 s", calls)
				cancel()
				wait()
				synctest.Wait()
			})
		})
	}
}
