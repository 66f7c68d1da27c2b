package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/dispatch"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
	"github.com/oriolehub/oriolehub/internal/standin/service"
)

// callTimeout bounds one call.
const callTimeout = 60 * time.Second

// Options choose what is sent.
type Options struct {
	// Targets are base URLs of entry processes.
	Targets  []string
	Classes  []Class
	Accounts []string
	// AccountWeights are the parts of the accounts in the arrivals; all alike where it is empty.
	AccountWeights []float64
	Seed           uint64
	// Prefix distinguishes the request IDs of two generators.
	Prefix string
}

// Generator sends calls until it is stopped.
type Generator struct {
	options Options
	client  *http.Client
	phase   atomic.Pointer[Phase]
	next    atomic.Int64
	running sync.WaitGroup
	cancel  context.CancelFunc

	mu      sync.Mutex
	phases  []*Phase
	refused []string
}

// New returns a generator; its first phase is called phase.
func New(o Options, phase string) *Generator {
	g := &Generator{options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: callTimeout}}
	g.Enter(phase)
	return g
}

// Enter begins a new phase; calls under way still count for the phase in which they began.
func (g *Generator) Enter(name string) *Phase {
	p := newPhase(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phases = append(g.phases, p)
	g.phase.Store(p)
	return p
}

// Phases returns all phases in order.
func (g *Generator) Phases() []*Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Phase(nil), g.phases...)
}

// Total returns the sum of all phases.
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

// Refused returns the IDs of the calls that were refused as not run.
func (g *Generator) Refused() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.refused...)
}

// Start begins to send.
func (g *Generator) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for i, c := range g.options.Classes {
		rng := rand.New(rand.NewPCG(g.options.Seed, uint64(i)))
		g.running.Go(func() { g.arrive(ctx, c, rng) })
	}
}

// Stop ends the arrivals and waits for the calls under way.
func (g *Generator) Stop() {
	g.cancel()
	g.running.Wait()
	g.client.CloseIdleConnections()
}

// arrive starts calls of a class with exponentially distributed gaps.
func (g *Generator) arrive(ctx context.Context, c Class, rng *rand.Rand) {
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
		account := g.account(rng)
		target := g.options.Targets[rng.IntN(len(g.options.Targets))]
		g.running.Go(func() { g.call(target, c, account) })
	}
}

func (g *Generator) account(rng *rand.Rand) string {
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
	at := rng.Float64() * sum
	for i, w := range g.options.AccountWeights {
		if at -= w; at < 0 {
			return g.options.Accounts[i]
		}
	}
	return g.options.Accounts[len(g.options.Accounts)-1]
}

func (g *Generator) call(target string, c Class, account string) {
	p := g.phase.Load()
	p.sent.Add(1)
	id := fmt.Sprintf("%s-%d", g.options.Prefix, g.next.Add(1))
	started := time.Now()
	r, err := newRequest(target, c, account, id)
	if err != nil {
		p.errors.Add(1)
		return
	}
	resp, err := g.client.Do(r)
	if err != nil {
		p.errors.Add(1)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch outcome := resp.Header.Get(dispatch.HeaderOutcome); {
	case outcome == "not-run":
		p.notRun.Add(1)
		g.remember(id)
	case outcome == "unknown":
		p.unknown.Add(1)
	case err != nil:
		p.cut.Add(1)
	case resp.StatusCode != http.StatusOK:
		p.errors.Add(1)
	default:
		g.check(p, c, account, id, string(body), time.Since(started))
	}
}

func newRequest(target string, c Class, account, id string) (*http.Request, error) {
	body := ""
	if c.Tokens > 0 {
		encoded, err := json.Marshal(engine.Prompt{Prompt: "note for " + id, Tokens: c.Tokens})
		if err != nil {
			return nil, fmt.Errorf("encode prompt: %w", err)
		}
		body = string(encoded)
	}
	r, err := http.NewRequest(c.Method, target+c.Path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	r.Header.Set(dispatch.HeaderRequestID, id)
	if account != "" {
		r.Header.Set(dispatch.HeaderAccount, account)
	}
	return r, nil
}

// check compares an answer with the one that belongs to the call.
func (g *Generator) check(p *Phase, c Class, account, id, body string, took time.Duration) {
	if c.Tokens > 0 {
		want := engine.Completion(id, engine.Prompt{Tokens: c.Tokens})
		switch {
		case body == want:
			p.answer(account, took)
		case strings.HasPrefix(want, body):
			p.short.Add(1)
		default:
			p.wrong.Add(1)
		}
		return
	}
	var a service.Answer
	switch {
	case json.Unmarshal([]byte(body), &a) != nil:
		p.short.Add(1)
	case a.Request != id || a.Method != c.Method:
		p.wrong.Add(1)
	default:
		p.answer(account, took)
	}
}

func (g *Generator) remember(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused = append(g.refused, id)
}
