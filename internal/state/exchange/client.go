package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// callTimeout bounds one exchange.
const callTimeout = 2 * time.Second

// Client exchanges with peers at an interval and at once after a change.
type Client struct {
	self     string
	catalog  *catalog.Catalog
	link     *link.Client
	interval time.Duration
	// seeds are the addresses tried while no other member is known.
	seeds []string

	mu    sync.Mutex
	peers map[string]*peerState
}

type cursor struct {
	epoch    uint64
	sequence uint64
}

// peerState remembers how far an exchange with one address has come, in both directions.
type peerState struct {
	// known is how far this process has the peer's changes.
	known cursor
	// sent is the sequence up to which the peer has this process's changes.
	sent uint64
}

// NewClient returns a client for the process self.
func NewClient(self string, c *catalog.Catalog, l *link.Client, interval time.Duration, seeds []string) *Client {
	return &Client{self: self, catalog: c, link: l, interval: interval, seeds: seeds, peers: map[string]*peerState{}}
}

// Run exchanges until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range c.choose() {
			_ = c.Exchange(ctx, address)
		}
		c.pause(ctx)
	}
}

// pause waits for the interval, jittered so that processes do not move in step.
func (c *Client) pause(ctx context.Context) {
	jittered := c.interval/2 + rand.N(c.interval)
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// choose returns the addresses of this round: one member at random and, in turn, one seed.
func (c *Client) choose() []string {
	var addresses []string
	var self hub.Member
	members := c.catalog.Members()
	for _, m := range members {
		if m.Id == c.self {
			self = m.Member
			continue
		}
		if m.State != hub.StateGone {
			addresses = append(addresses, m.Address)
		}
	}
	var chosen []string
	if len(addresses) > 0 {
		chosen = append(chosen, addresses[rand.IntN(len(addresses))])
	}
	if len(c.seeds) > 0 {
		seed := c.seeds[rand.IntN(len(c.seeds))]
		if seed != self.Address {
			chosen = append(chosen, seed)
		}
	}
	return chosen
}

// Exchange swaps changes with the process at address once.
func (c *Client) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := c.peer(address)
	change := c.catalog.ChangesSince(c.catalog.Epoch(), state.sent)
	request := &message.ExchangeRequest{
		Sender:        c.self,
		KnownEpoch:    state.known.epoch,
		KnownSequence: state.known.sequence,
		Epoch:         change.Epoch,
		Sequence:      change.Sequence,
		Documents:     toDocuments(change.Documents),
		Members:       ToMembers(change.Members),
	}
	peer := message.NewDRPCPeerClient(c.link.Pooled(ctx, address))
	reply, err := peer.Exchange(ctx, request)
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", address, err)
	}
	c.catalog.Merge(fromDocuments(reply.GetDocuments()), FromMembers(reply.GetMembers()))
	c.remember(address, peerState{known: cursor{reply.GetEpoch(), reply.GetSequence()}, sent: change.Sequence})
	return nil
}

func (c *Client) peer(address string) peerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[address]; p != nil {
		return *p
	}
	return peerState{}
}

func (c *Client) remember(address string, p peerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.peers[address]; old != nil && old.known.epoch != p.known.epoch {
		// The peer has restarted and lost what it was sent.
		p.sent = 0
	}
	c.peers[address] = &p
}
