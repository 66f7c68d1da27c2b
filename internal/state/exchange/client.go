package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/neighbour"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// callTimeout is the timeout of one exchange.
	callTimeout = 2 * time.Second
	// suspectAfter is the time since the last response after which a neighbour that does not respond is suspected.
	suspectAfter = 3 * time.Second
	// joinInterval is the upper limit of the mean interval between rounds while no neighbour is known.
	joinInterval = 100 * time.Millisecond
	// defaultSeedInterval is the interval between exchanges with a seed if Options.SeedInterval is nil.
	defaultSeedInterval = 10 * time.Second
	// roundTimeout is the maximum time for which a round waits for its exchanges; slower ones continue in the
	// background.
	roundTimeout = 300 * time.Millisecond
	// neighbourDelay is the maximum time that a round waits for the exchange with one neighbour before it starts that
	// with the next, so that a document received from one is not requested from the others.
	neighbourDelay = 25 * time.Millisecond
	// changeInterval is the minimum interval between two rounds that changes of documents cause.
	changeInterval = 150 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Self is the member ID of this process.
	Self    string
	Catalog *catalog.Catalog
	Link    *link.Client
	// Interval returns the mean interval between two rounds of exchanges with all neighbours.
	Interval func() time.Duration
	// Frequent names the documents that change often. A change of one of them causes a round with the neighbours for
	// which Prompt reports true, a change of any other document one with all neighbours. If Prompt is nil, all documents
	// are treated alike.
	Frequent []string
	Prompt   func(m *hub.Member) bool
	// Seeds are addresses of other processes. One of them, chosen at random, is contacted at startup and every
	// SeedInterval.
	Seeds []string
	// SeedInterval returns the interval between two exchanges with a seed. These exchanges reconnect groups of processes
	// that a network partition or a restart has separated. nil means the default of 10 s.
	SeedInterval func() time.Duration
	// MoreSeeds returns additional seeds and is called anew for each exchange with a seed; it may be nil.
	MoreSeeds func() []string
	Log       *log.Logger
}

// Client exchanges documents and member records with the neighbours periodically, and with those that need it at once
// whenever a document changes.
//
// The exchanges are also the failure detector. A neighbour that has not responded for suspectAfter is marked as
// suspected in a record with its current incarnation and sequence. If it is alive, it receives that record and
// refutes the suspicion by publishing one with a higher sequence.
type Client struct {
	options Options
	// created is the time to which heardAt refers.
	created time.Time
	// heardAt is the time of the last response of another process, in nanoseconds since created.
	heardAt atomic.Int64

	mu sync.Mutex
	// inProgress is the set of addresses with which an exchange is in progress.
	inProgress map[string]bool
	// peers is keyed by address.
	peers map[string]*peerState
	// lastSeedExchange is the time of the last exchange with a seed.
	lastSeedExchange time.Time
	// chosen is the list of neighbours, computed from the members at catalog sequence chosenAt.
	chosen   []hub.Member
	chosenAt uint64
}

// peerState is the replication progress with the process at one address, in both directions.
type peerState struct {
	// epoch and sequence are the position in the peer's changes up to which its member records were received.
	epoch    uint64
	sequence uint64
	// sentSequence is the sequence of this process's own record that was last sent to the peer.
	sentSequence uint64
	// lastResponse is the time of the last response, initially the time at which the address was first contacted.
	lastResponse time.Time
}

// change is what has changed in the documents.
type change int

const (
	changedNothing change = iota
	// changedFrequent means that only frequent documents have changed.
	changedFrequent
	// changedAny means that other documents have changed.
	changedAny
)

// Every returns a constant interval for Options.
func Every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// NewClient returns a client; call Run to start its exchanges.
func NewClient(o Options) *Client {
	if o.SeedInterval == nil {
		o.SeedInterval = Every(defaultSeedInterval)
	}
	return &Client{options: o, created: time.Now(), inProgress: map[string]bool{}, peers: map[string]*peerState{}}
}

// SinceHeard returns the time since the last response of another process, or since the start if there was none.
func (c *Client) SinceHeard() time.Duration {
	return time.Since(c.created) - time.Duration(c.heardAt.Load())
}

// Run performs rounds of exchanges until ctx is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started, known := time.Now(), c.options.Catalog.Revisions()
		c.Round(ctx)
		next := started.Add(c.nextInterval())
		for c.waitChange(ctx, started, next, known) == changedFrequent {
			started, known = time.Now(), c.options.Catalog.Revisions()
			c.round(ctx, c.promptNeighbours(), "")
		}
	}
}

// nextInterval returns the time from one round with all neighbours to the next. It has jitter, so that the rounds of
// different processes are not synchronised.
func (c *Client) nextInterval() time.Duration {
	interval := c.options.Interval()
	if c.hasNoNeighbours() {
		interval = min(interval, joinInterval)
	}
	return interval/2 + rand.N(interval)
}

// waitChange waits until the time next, or until a document that a neighbour needs at once differs from the known
// revisions, but in the latter case at least until changeInterval after started. It returns what has changed by then.
func (c *Client) waitChange(ctx context.Context, started, next time.Time, known map[string]uint64) change {
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for {
		documentsChanged := c.options.Catalog.DocumentsChanged()
		if c.changeSince(known) != changedNothing {
			_ = hub.Sleep(ctx, min(changeInterval-time.Since(started), time.Until(next)))
			return c.changeSince(known)
		}
		select {
		case <-documentsChanged:
		case <-timer.C:
			return changedNothing
		case <-ctx.Done():
			return changedNothing
		}
	}
}

// hasNoNeighbours reports whether there is no neighbour.
func (c *Client) hasNoNeighbours() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.chosen) == 0
}

// Round exchanges once with each neighbour, and with a seed if that is due, as round.
func (c *Client) Round(ctx context.Context) {
	neighbours, selfAddress := c.neighbours()
	seed := c.seed(len(neighbours))
	if seed == selfAddress {
		seed = ""
	}
	c.round(ctx, neighbours, seed)
}

// round exchanges once with each of the given neighbours and with the seed unless that is empty, one after the other. It
// waits for no exchange longer than neighbourDelay, and returns after roundTimeout even if exchanges are still in
// progress, so that one unreachable process does not delay replication to the others.
func (c *Client) round(ctx context.Context, neighbours []hub.Member, seed string) {
	done := make(chan struct{}, len(neighbours)+1)
	started := 0
	for _, n := range neighbours {
		if !c.begin(n.Address) {
			continue
		}
		go func() {
			defer c.end(n.Address, done)
			if err := c.Exchange(ctx, n.Address, n.Id); err != nil {
				c.suspect(ctx, n, err)
			}
		}()
		if !ended(done, neighbourDelay) {
			started++
		}
	}
	if seed != "" && c.begin(seed) {
		started++
		go func() {
			defer c.end(seed, done)
			if err := c.Exchange(ctx, seed, seed); err != nil && ctx.Err() == nil {
				c.options.Log.Debug().Str("Seed", seed).Err(err).Msg("exchange with seed failed")
			}
		}()
	}
	timeout := time.NewTimer(roundTimeout)
	defer timeout.Stop()
	for range started {
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}

// ended waits for up to d for a signal on done and reports whether it came.
func ended(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// begin marks an exchange with address as in progress. It returns false if one is in progress already.
func (c *Client) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress[address] {
		return false
	}
	c.inProgress[address] = true
	return true
}

// end marks the exchange with address as finished and signals done.
func (c *Client) end(address string, done chan<- struct{}) {
	c.mu.Lock()
	delete(c.inProgress, address)
	c.mu.Unlock()
	done <- struct{}{}
}

// neighbours returns the neighbours and the address of this process. The neighbours are recomputed only after a
// change of the members.
func (c *Client) neighbours() ([]hub.Member, string) {
	self, _ := c.options.Catalog.Member(c.options.Self)
	sequence := c.options.Catalog.Sequence()
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence == c.chosenAt {
		return c.chosen, self.Address
	}
	known := c.options.Catalog.Members()
	members := make([]hub.Member, len(known))
	for i := range known {
		members[i] = known[i].Member
	}
	c.chosen = neighbour.Choose(self.Member, members)
	c.chosenAt = sequence
	return c.chosen, self.Address
}

// promptNeighbours returns the neighbours that need changes of frequent documents at once.
func (c *Client) promptNeighbours() []hub.Member {
	neighbours, _ := c.neighbours()
	return slices.DeleteFunc(slices.Clone(neighbours), func(m hub.Member) bool { return !c.options.Prompt(&m) })
}

// changeSince returns what differs from the known revisions of documents.
func (c *Client) changeSince(known map[string]uint64) change {
	found := changedNothing
	for name, revision := range c.options.Catalog.Revisions() {
		switch {
		case revision <= known[name]:
		case c.options.Prompt == nil || !slices.Contains(c.options.Frequent, name):
			return changedAny
		default:
			found = changedFrequent
		}
	}
	return found
}

// seed returns a random seed to exchange with in this round, or "" if none is due or known. Without neighbours a
// seed is due in every round.
func (c *Client) seed(neighbours int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if neighbours > 0 && time.Since(c.lastSeedExchange) < c.options.SeedInterval() {
		return ""
	}
	seeds := c.options.Seeds
	if c.options.MoreSeeds != nil {
		seeds = append(slices.Clone(seeds), c.options.MoreSeeds()...)
	}
	if len(seeds) == 0 {
		return ""
	}
	c.lastSeedExchange = time.Now()
	return seeds[rand.IntN(len(seeds))]
}

// suspect marks a neighbour as suspected if it has not responded for suspectAfter; cause is the error of the last
// exchange.
func (c *Client) suspect(ctx context.Context, n hub.Member, cause error) {
	if ctx.Err() != nil || n.Suspected || time.Since(c.peer(n.Address).lastResponse) < suspectAfter {
		return
	}
	n.Suspected = true
	if c.options.Catalog.PutMember(n, c.options.Self) {
		c.options.Log.Warn().Str("Member", n.Id).Err(cause).Msg("member suspected")
	}
}

// Exchange sends local changes to the process id at address and merges those that it returns.
func (c *Client) Exchange(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := c.peer(address)
	request, sentSequence := c.request(&state)
	conn := c.options.Link.Pooled(ctx, address)
	defer conn.Close()
	reply, err := c.call(ctx, conn, id, request)
	if err != nil {
		return fmt.Errorf("exchange with %s: %w", address, err)
	}
	if request = c.push(reply); len(request.Documents) > 0 {
		if reply, err = c.call(ctx, conn, id, request); err != nil {
			return fmt.Errorf("send documents to %s: %w", address, err)
		}
	}
	next := &peerState{
		epoch:        reply.GetEpoch(),
		sequence:     reply.GetSequence(),
		sentSequence: sentSequence,
		lastResponse: time.Now(),
	}
	c.setPeer(address, next)
	return nil
}

// call sends one request to a peer and merges its reply.
func (c *Client) call(ctx context.Context, conn drpc.Conn, id string, request *message.ExchangeRequest) (*message.ExchangeReply, error) {
	reply, err := message.NewDRPCPeerClient(conn).Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	c.heardAt.Store(int64(time.Since(c.created)))
	merge(c.options.Catalog, id, reply.GetDocuments(), reply.GetMembers())
	return reply, nil
}

// push returns the request that sends a peer the documents which it lacks according to its reply. Documents are sent
// only then, because a peer may have received them from others since the exchange before.
func (c *Client) push(reply *message.ExchangeReply) *message.ExchangeRequest {
	local := c.options.Catalog
	return &message.ExchangeRequest{
		Sender:         c.options.Self,
		KnownEpoch:     reply.GetEpoch(),
		KnownSequence:  reply.GetSequence(),
		Documents:      newerThan(local, fromRevisions(reply.GetRevisions()), reply.GetAcceptsEntries()),
		Revisions:      toRevisions(local),
		AcceptsEntries: true,
	}
}

// request returns the request to send to a peer and the sequence of this process's own record that the peer has
// afterwards.
//
// Of the member records, only that of this process is pushed; the others are pulled. If they were pushed too, a
// process would receive each record twice as often from neighbours that do not know yet that it has the record.
func (c *Client) request(state *peerState) (*message.ExchangeRequest, uint64) {
	local := c.options.Catalog
	request := &message.ExchangeRequest{
		Sender:        c.options.Self,
		KnownEpoch:    state.epoch,
		KnownSequence: state.sequence,
		Revisions:     toRevisions(local),

		AcceptsEntries: true,
	}
	if state.epoch == 0 {
		buckets := local.Buckets()
		request.Buckets = buckets[:]
	}
	self, ok := local.Member(c.options.Self)
	if ok && self.Sequence != state.sentSequence {
		request.Members = []*message.Member{ToMember(&self.Member)}
	}
	return request, self.Sequence
}

// peer returns the state of the peer at address; a new peer is created as if it had responded just now.
func (c *Client) peer(address string) peerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peerState{lastResponse: time.Now()}
		c.peers[address] = p
	}
	return *p
}

// setPeer stores the state of the peer at address after an exchange.
func (c *Client) setPeer(address string, p *peerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.peers[address]; old != nil && old.epoch != 0 && old.epoch != p.epoch {
		// The peer has restarted and lost its records, so this process's own record must be sent again.
		p.sentSequence = 0
	}
	c.peers[address] = p
}
