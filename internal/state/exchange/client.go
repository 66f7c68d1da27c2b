package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/neighbour"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// callTimeout bounds one exchange.
	callTimeout = 2 * time.Second
	// suspectAfter is the time for which a neighbour does not answer before it is suspected.
	suspectAfter = 3 * time.Second
	// joinInterval is the longest time between two tries to reach a seed while no neighbour is known.
	joinInterval = 100 * time.Millisecond
	// defaultSeedInterval is the time between two exchanges with a seed where the options name none.
	defaultSeedInterval = 10 * time.Second
	// roundLimit is the longest time for which a round waits for its exchanges.
	roundLimit = 300 * time.Millisecond
)

// Options are what a client works with.
type Options struct {
	Self    string
	Catalog *catalog.Catalog
	Link    *link.Client
	// Interval is the time between two exchanges with one neighbour.
	Interval time.Duration
	// Seeds are addresses that are asked at the start and now and then.
	Seeds []string
	// SeedInterval is the time between two exchanges with a seed, which join what a cut or a restart has parted.
	SeedInterval time.Duration
	// MoreSeeds returns further such addresses as they are known now; it may be nil.
	MoreSeeds func() []string
	Log       *log.Logger
}

// Client exchanges with neighbours: at an interval, and at once when a document changes.
//
// The exchange also watches the neighbours. One that does not answer for a while is suspected by a record
// of its own incarnation and sequence; if it lives, it learns of that and answers with a higher sequence.
type Client struct {
	options Options

	mu sync.Mutex
	// busy are the addresses with which an exchange is under way.
	busy     map[string]bool
	peers    map[string]*peerState
	seededAt time.Time
	// chosen are the neighbours by the membership of chosenAt.
	chosen   []hub.Member
	chosenAt uint64
}

// peerState remembers how far the exchange with one address has come, in both directions.
type peerState struct {
	epoch    uint64
	sequence uint64
	// told is the sequence of this process's own record that the peer was given.
	told      uint64
	revisions revisions
	answered  time.Time
}

// NewClient returns a client.
func NewClient(o Options) *Client {
	if o.SeedInterval == 0 {
		o.SeedInterval = defaultSeedInterval
	}
	return &Client{options: o, busy: map[string]bool{}, peers: map[string]*peerState{}}
}

// Run exchanges until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		renewed := c.options.Catalog.Renewed()
		c.Round(ctx)
		c.pause(ctx, renewed)
	}
}

// pause waits for the interval, jittered so that processes don't move in step, or for a document to change.
func (c *Client) pause(ctx context.Context, renewed <-chan struct{}) {
	interval := c.options.Interval
	if c.alone() {
		interval = min(interval, joinInterval)
	}
	timer := time.NewTimer(interval/2 + rand.N(interval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-renewed:
	case <-ctx.Done():
	}
}

// alone reports whether no neighbour is known.
func (c *Client) alone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.chosen) == 0
}

// Round exchanges once with each neighbour and now and then with a seed, all at the same time. It waits for
// the slow ones only a little: news must not stand still for a process that is down or cut off.
func (c *Client) Round(ctx context.Context) {
	neighbours, selfAddress := c.neighbours()
	done := make(chan struct{}, len(neighbours)+1)
	started := 0
	for _, n := range neighbours {
		if !c.begin(n.Address) {
			continue
		}
		started++
		go func() {
			defer c.end(n.Address, done)
			if err := c.Exchange(ctx, n.Address, n.Id); err != nil {
				c.suspect(ctx, n, err)
			}
		}()
	}
	if seed := c.seed(len(neighbours)); seed != "" && seed != selfAddress && c.begin(seed) {
		started++
		go func() {
			defer c.end(seed, done)
			if err := c.Exchange(ctx, seed, seed); err != nil && ctx.Err() == nil {
				c.options.Log.Debug().Str("Seed", seed).Err(err).Msg("seed does not answer")
			}
		}()
	}
	limit := time.NewTimer(roundLimit)
	defer limit.Stop()
	for range started {
		select {
		case <-done:
		case <-limit.C:
			return
		}
	}
}

// begin marks an exchange with an address as being under way, and reports false if one was already.
func (c *Client) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[address] {
		return false
	}
	c.busy[address] = true
	return true
}

func (c *Client) end(address string, done chan<- struct{}) {
	c.mu.Lock()
	delete(c.busy, address)
	c.mu.Unlock()
	done <- struct{}{}
}

// neighbours returns the neighbours and the own address, chosen anew only when the members have changed.
func (c *Client) neighbours() ([]hub.Member, string) {
	self, _ := c.options.Catalog.Member(c.options.Self)
	at := c.options.Catalog.Sequence()
	c.mu.Lock()
	defer c.mu.Unlock()
	if at == c.chosenAt {
		return c.chosen, self.Address
	}
	known := c.options.Catalog.Members()
	members := make([]hub.Member, len(known))
	for i := range known {
		members[i] = known[i].Member
	}
	c.chosen = neighbour.Choose(self.Member, members)
	c.chosenAt = at
	return c.chosen, self.Address
}

// seed returns a seed to exchange with in this round, or "".
func (c *Client) seed(neighbours int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if neighbours > 0 && time.Since(c.seededAt) < c.options.SeedInterval {
		return ""
	}
	seeds := c.options.Seeds
	if c.options.MoreSeeds != nil {
		seeds = append(slices.Clone(seeds), c.options.MoreSeeds()...)
	}
	if len(seeds) == 0 {
		return ""
	}
	c.seededAt = time.Now()
	return seeds[rand.IntN(len(seeds))]
}

// suspect records that a neighbour has not answered for a while.
func (c *Client) suspect(ctx context.Context, n hub.Member, cause error) {
	if ctx.Err() != nil || n.Suspected || time.Since(c.peer(n.Address).answered) < suspectAfter {
		return
	}
	n.Suspected = true
	if c.options.Catalog.PutMember(n, c.options.Self) {
		c.options.Log.Warn().Str("Member", n.Id).Err(cause).Msg("member suspected")
	}
}

// Exchange swaps changes once with the process id at address.
func (c *Client) Exchange(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := c.peer(address)
	request, told := c.request(&state)
	conn := c.options.Link.Pooled(ctx, address)
	defer conn.Close()
	reply, err := message.NewDRPCPeerClient(conn).Exchange(ctx, request)
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", address, err)
	}
	merge(c.options.Catalog, id, reply.GetDocuments(), reply.GetMembers())
	next := &peerState{
		epoch:     reply.GetEpoch(),
		sequence:  reply.GetSequence(),
		told:      told,
		revisions: fromRevisions(reply.GetRevisions()),
		answered:  time.Now(),
	}
	c.remember(address, next)
	return nil
}

// request returns what to send to a peer, and the sequence of the own record that the peer then has.
//
// Member records are asked for and not pushed, but for the own one: pushed as well, each record would
// reach a process twice as often from neighbours that have not heard that it has it.
func (c *Client) request(state *peerState) (*message.ExchangeRequest, uint64) {
	known := c.options.Catalog
	request := &message.ExchangeRequest{
		Sender:        c.options.Self,
		KnownEpoch:    state.epoch,
		KnownSequence: state.sequence,
		Revisions:     toRevisions(known),
	}
	if state.revisions != nil {
		request.Documents = newerThan(known, state.revisions)
	}
	if state.epoch == 0 {
		buckets := known.Buckets()
		request.Buckets = buckets[:]
	}
	self, ok := known.Member(c.options.Self)
	if ok && self.Sequence != state.told {
		request.Members = []*message.Member{ToMember(&self.Member)}
	}
	return request, self.Sequence
}

// peer returns what is remembered of an address; a new one counts as having answered just now.
func (c *Client) peer(address string) peerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peerState{answered: time.Now()}
		c.peers[address] = p
	}
	return *p
}

func (c *Client) remember(address string, p *peerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.peers[address]; old != nil && old.epoch != 0 && old.epoch != p.epoch {
		// The peer has restarted and lost what it was told.
		p.told = 0
	}
	c.peers[address] = p
}
