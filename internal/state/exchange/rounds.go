package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/neighbour"
)

const (
	// joinInterval is the upper limit of the mean interval between rounds while no neighbour is known, and the mean pause
	// between exchanges with seeds while a required document is missing after the start.
	joinInterval = 100 * time.Millisecond
	// defaultSeedInterval is the interval between exchanges with a seed if Options.SeedInterval is nil.
	defaultSeedInterval = 10 * time.Second
	// roundTimeout is the maximum time for which a round waits for its exchanges; slower ones continue in the
	// background.
	roundTimeout = 300 * time.Millisecond
	// defaultNeighbourDelay is the default of Options.NeighbourDelay.
	defaultNeighbourDelay = 25 * time.Millisecond
	// changeInterval is the minimum interval between two rounds that changes of documents cause.
	changeInterval = 150 * time.Millisecond
)

// change is what has changed in the documents.
type change int

const (
	changedNothing change = iota
	// changedFrequent means that only frequent documents have changed.
	changedFrequent
	// changedAny means that other documents have changed.
	changedAny
)

// Run performs rounds of exchanges until ctx is done.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.join(ctx) })
	for ctx.Err() == nil {
		started, known, joining := time.Now(), c.options.Catalog.Revisions(), c.joining.active()
		c.Round(ctx)
		next := started.Add(c.nextInterval())
		for c.waitChange(ctx, started, next, known, joining) == changedFrequent {
			started, known, joining = time.Now(), c.options.Catalog.Revisions(), c.joining.active()
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
// revisions, but in the latter case at least until changeInterval after started. It returns what has changed by then. If the
// process was joining and is not any more, it returns changedAny without delay: the neighbours have mostly started at the
// same time and wait for their first desired state too.
func (c *Client) waitChange(ctx context.Context, started, next time.Time, known map[string]uint64, joining bool) change {
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for {
		documentsChanged := c.options.Catalog.DocumentsChanged()
		if c.changeSince(known) != changedNothing {
			wait := min(changeInterval-time.Since(started), time.Until(next))
			if joining && !c.waitJoined(ctx, nil, 0, wait) {
				return changedAny
			}
			if !joining {
				_ = hub.Sleep(ctx, wait)
			}
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
// waits for no exchange longer than Options.NeighbourDelay, and returns after roundTimeout even if exchanges are still in
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
		if !ended(done, c.options.NeighbourDelay) {
			started++
		}
	}
	if seed != "" && c.begin(seed) {
		started++
		go c.exchangeWithSeed(ctx, seed, done)
	}
	if started > 0 && c.joining.active() {
		c.waitJoined(ctx, done, started, roundTimeout)
		return
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

// exchangeWithSeed exchanges once with a seed that was marked by begin and signals done.
func (c *Client) exchangeWithSeed(ctx context.Context, seed string, done chan<- struct{}) {
	defer c.end(seed, done)
	if err := c.Exchange(ctx, seed, seed); err != nil && ctx.Err() == nil {
		c.options.Log.Debug().Str("Seed", seed).Err(err).Msg("exchange with seed failed")
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
// seed is due in every round. Seeds after the first are left to join while that asks them.
func (c *Client) seed(neighbours int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if neighbours > 0 && time.Since(c.lastSeedExchange) < c.options.SeedInterval() || !c.lastSeedExchange.IsZero() && c.joining.active() {
		return ""
	}
	c.lastSeedExchange = time.Now()
	return c.randomSeed()
}

// randomSeed returns a random seed, or "" if none is known.
func (c *Client) randomSeed() string {
	seeds := c.options.Seeds
	if c.options.MoreSeeds != nil {
		seeds = append(slices.Clone(seeds), c.options.MoreSeeds()...)
	}
	if len(seeds) == 0 {
		return ""
	}
	return seeds[rand.IntN(len(seeds))]
}
