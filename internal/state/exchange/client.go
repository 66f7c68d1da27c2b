package exchange

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"storj.io/drpc"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// callTimeout is the timeout of one exchange.
	callTimeout = 2 * time.Second
	// suspectAfter is the time since the last response after which a neighbour that does not respond is suspected.
	suspectAfter = 3 * time.Second
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
	// NeighbourDelay is the maximum time that a round waits for the exchange with one neighbour before it starts that with
	// the next, so that a document received from one is not requested from the others. 0 means the default of 25 ms.
	NeighbourDelay time.Duration
	// Required names the documents without which the process cannot work. While one of them is missing after the start,
	// for at most joinTime, seeds are asked at short intervals, and once all are there they are passed on at once.
	Required []string
	// Seeds are addresses of other processes. One of them, chosen at random, is contacted at startup and every
	// SeedInterval.
	Seeds []string
	// SeedInterval returns the interval between two exchanges with a seed. These exchanges reconnect groups of processes
	// that a network partition or a restart has separated. nil means the default of 10 s.
	SeedInterval func() time.Duration
	// MoreSeeds returns additional seeds and is called anew for each exchange with a seed; it may be nil.
	MoreSeeds func() []string
	// TargetAges holds the ages of target versions; nil if this process does not know any.
	TargetAges hub.TargetAges
	Log        *log.Logger
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
	joining *joining

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

// Every returns a constant interval for Options.
func Every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// NewClient returns a client; call Run to start its exchanges.
func NewClient(o Options) *Client {
	if o.NeighbourDelay == 0 {
		o.NeighbourDelay = defaultNeighbourDelay
	}
	if o.SeedInterval == nil {
		o.SeedInterval = Every(defaultSeedInterval)
	}
	return &Client{options: o, created: time.Now(), joining: newJoining(o.Catalog, o.Required), inProgress: map[string]bool{}, peers: map[string]*peerState{}}
}

// SinceHeard returns the time since the last response of another process, or since the start if there was none.
func (c *Client) SinceHeard() time.Duration {
	return time.Since(c.created) - time.Duration(c.heardAt.Load())
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
	if reply, err = c.transfer(ctx, conn, id, reply); err != nil {
		return fmt.Errorf("exchange documents with %s: %w", address, err)
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

// transfer sends a peer the documents that it lacks according to its reply, and lets it send the ones that this process
// needs to join if it has reserved that. It returns the last reply.
func (c *Client) transfer(ctx context.Context, conn drpc.Conn, id string, reply *message.ExchangeReply) (*message.ExchangeReply, error) {
	token := c.joining.reserve(reply.GetRevisions())
	defer c.joining.release(token)
	request := c.push(reply, !token.IsZero())
	if len(request.Documents) == 0 && token.IsZero() {
		return reply, nil
	}
	return c.call(ctx, conn, id, request)
}

// call sends one request to a peer and merges its reply.
func (c *Client) call(ctx context.Context, conn drpc.Conn, id string, request *message.ExchangeRequest) (*message.ExchangeReply, error) {
	sent := time.Now()
	reply, err := message.NewDRPCPeerClient(conn).Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	c.heardAt.Store(int64(time.Since(c.created)))
	c.learnAges(reply, sent)
	merge(c.options.Catalog, id, reply.GetDocuments(), reply.GetMembers())
	return reply, nil
}

// push returns the request that sends a peer the documents which it lacks according to its reply. Documents are sent
// only then, because a peer may have received them from others since the exchange before. reserved tells whether the peer
// may send those that this process needs to join.
func (c *Client) push(reply *message.ExchangeReply, reserved bool) *message.ExchangeRequest {
	local := c.options.Catalog
	return &message.ExchangeRequest{
		Sender:         c.options.Self,
		KnownEpoch:     reply.GetEpoch(),
		KnownSequence:  reply.GetSequence(),
		Documents:      newerThan(local, fromRevisions(reply.GetRevisions()), reply.GetAcceptsEntries()),
		Revisions:      c.joining.revisions(local, reserved),
		AcceptsEntries: true,
		NeedsAges:      c.needsAges(),
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
		Revisions:     c.joining.revisions(local, false),

		AcceptsEntries: true,
		NeedsAges:      c.needsAges(),
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
