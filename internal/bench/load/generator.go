package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// callTimeout is the maximum duration of one request.
const callTimeout = 60 * time.Second

// Options configure a generator.
type Options struct {
	// Caller sends the requests; nil means a new GroupCaller.
	Caller Caller
	// Targets are the destinations, chosen at random for each request, in the form that Caller expects.
	Targets []string
	Classes []Class
	// Accounts are the client accounts of the requests; empty means that requests carry none.
	Accounts []string
	// AccountWeights are the relative request rates of Accounts; empty means equal rates.
	AccountWeights []float64
	// Seed determines the arrival times, targets and accounts.
	Seed uint64
	// Prefix is the first part of the request IDs; it keeps those of different generators distinct.
	Prefix string
}

// Generator sends requests until it is stopped.
type Generator struct {
	options Options
	phase   atomic.Pointer[Phase]
	lastId  atomic.Int64
	running sync.WaitGroup
	cancel  context.CancelFunc

	mu      sync.Mutex
	phases  []*Phase
	refused []string
}

// New returns a generator with a first phase of the given name. Start starts the requests.
func New(o Options, phase string) *Generator {
	if o.Caller == nil {
		o.Caller = NewGroupCaller()
	}
	g := &Generator{options: o}
	g.BeginPhase(phase)
	return g
}

// BeginPhase begins a new phase; requests in progress still count for the phase in which they began.
func (g *Generator) BeginPhase(name string) *Phase {
	p := newPhase(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases = append(g.phases, p)
	g.phase.Store(p)
	return p
}

// Phases returns all phases in the order in which they began.
func (g *Generator) Phases() []*Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Phase(nil), g.phases...)
}

// Total returns the sum of the counts of all phases.
func (g *Generator) Total() Counts {
	var sum Counts
	for _, p := range g.Phases() {
		c := p.Counts()
		sum.Sent += c.Sent
		sum.Answered += c.Answered
		sum.NotRun += c.NotRun
		sum.Unknown += c.Unknown
		sum.Cut += c.Cut
		sum.Wrong += c.Wrong
		sum.Short += c.Short
		sum.Errors += c.Errors
	}
	return sum
}

// Refused returns the IDs of the requests whose outcome was NotRun.
func (g *Generator) Refused() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.refused...)
}

// Start starts sending requests.
func (g *Generator) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for i, c := range g.options.Classes {
		rng := rand.New(rand.NewPCG(g.options.Seed, uint64(i)))
		g.running.Go(func() { g.sendClass(ctx, c, rng) })
	}
}

// Stop starts no further requests and waits for those in progress.
func (g *Generator) Stop() {
	g.cancel()
	g.running.Wait()
}

// sendClass starts requests of a class at exponentially distributed intervals until ctx is done.
func (g *Generator) sendClass(ctx context.Context, c Class, rng *rand.Rand) {
	if c.PerSecond <= 0 {
		return
	}
	due := time.Now()
	for {
		gap := rng.ExpFloat64() / c.PerSecond
		due = due.Add(time.Duration(gap * float64(time.Second)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		account := g.pickAccount(rng)
		target := g.options.Targets[rng.IntN(len(g.options.Targets))]
		// Requests in progress are completed after ctx is cancelled.
		g.running.Go(func() { g.call(context.WithoutCancel(ctx), target, c, account) })
	}
}

// pickAccount chooses an account at random according to AccountWeights.
func (g *Generator) pickAccount(rng *rand.Rand) string {
	if len(g.options.Accounts) == 0 {
		return ""
	}
	if len(g.options.AccountWeights) == 0 {
		return g.options.Accounts[rng.IntN(len(g.options.Accounts))]
	}
	sum := 0.0
	for _, w := range g.options.AccountWeights {
		sum += w
	}
	offset := rng.Float64() * sum
	for i, w := range g.options.AccountWeights {
		if offset -= w; offset < 0 {
			return g.options.Accounts[i]
		}
	}
	return g.options.Accounts[len(g.options.Accounts)-1]
}

func (g *Generator) call(ctx context.Context, target string, c Class, account string) {
	p := g.phase.Load()
	p.sent.Add(1)
	id := fmt.Sprintf("%s-%d", g.options.Prefix, g.lastId.Add(1))
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch g.options.Caller.Call(ctx, target, c, account, id) {
	case Answered:
		p.recordAnswer(account, time.Since(started))
	case NotRun:
		p.notRun.Add(1)
		g.recordRefused(id)
	case Unknown:
		p.unknown.Add(1)
	case Cut:
		p.cut.Add(1)
	case Wrong:
		p.wrong.Add(1)
	case Short:
		p.short.Add(1)
	case Failed:
		p.errors.Add(1)
	}
}

func (g *Generator) recordRefused(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused = append(g.refused, id)
}
