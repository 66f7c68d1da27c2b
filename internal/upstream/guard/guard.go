package guard

import (
	"sync"
	"time"
)

// Reason tells why a request is refused; a refused request has not run.
type Reason string

// Reasons of a refusal.
const (
	ReasonNone       Reason = ""
	ReasonFull       Reason = "upstream is at its limit"
	ReasonDomainOut  Reason = "failure domain is out of service"
	ReasonLeaving    Reason = "upstream is leaving"
	ReasonNotLoaded  Reason = "upstream does not hold the agreed version"
	ReasonLoading    Reason = "upstream is loading a version"
	ReasonRestarted  Reason = "side process has restarted"
	ReasonRepeated   Reason = "attempt was cancelled or is known already"
	ReasonNoRules    Reason = "no rules are known yet"
	ReasonGroup      Reason = "upstream serves another group"
	ReasonEngineDown Reason = "upstream does not answer"
)

// Transient reports whether another upstream of the same group may well take the request.
func (r Reason) Transient() bool {
	return r != ReasonGroup
}

// Options bound the admission of one upstream.
type Options struct {
	// MaxConcurrent is the number of concurrent requests that a warm upstream bears.
	MaxConcurrent int
	// StartConcurrent is the limit of an upstream that has just started.
	StartConcurrent int
	// SlowStartRequests is the number of good answers that bring the limit from start to maximum.
	SlowStartRequests int
}

const (
	// slowFactor is the latency, relative to the usual one, above which the limit no longer grows.
	slowFactor = 1.5
	// coldFactor is the latency, relative to the usual one, that counts as a sign of a cold upstream.
	coldFactor = 2.5
	// coldSigns is the number of such signs in a row after which slow start begins again.
	coldSigns = 3
	// usualWeight is the weight of one more latency in the usual one.
	usualWeight = 0.05
	// retryWhenFull is the advised pause before a full upstream is tried again.
	retryWhenFull = 200 * time.Millisecond
	// retryWhenOut is the advised pause in other cases.
	retryWhenOut = time.Second
)

// Refusal says that a request has not run and why.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Guard counts the requests in progress against a limit that grows as the upstream proves itself.
//
// The limit starts at StartConcurrent, grows by an equal step with each good answer and reaches
// MaxConcurrent after SlowStartRequests of them. It stands still while answers are slow, and goes back
// to the start after several very slow answers in a row, which is how an upstream that turned cold
// without warning shows itself.
type Guard struct {
	options Options

	mu      sync.Mutex
	limit   float64
	running int
	usual   float64
	signs   int
	blocks  map[Reason]bool
	idle    chan struct{}
	// admitted counts the requests taken in.
	admitted int
}

// New returns a guard that refuses everything until Unblock(ReasonNotLoaded) and Unblock(ReasonNoRules).
func New(o Options) *Guard {
	g := &Guard{options: o, limit: float64(o.StartConcurrent), blocks: map[Reason]bool{}}
	g.blocks[ReasonNoRules] = true
	g.blocks[ReasonNotLoaded] = true
	return g
}

// order in which standing reasons are reported.
var order = []Reason{ReasonLeaving, ReasonDomainOut, ReasonNoRules, ReasonLoading, ReasonNotLoaded, ReasonEngineDown, ReasonGroup}

// Block refuses all new requests for a reason.
func (g *Guard) Block(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocks[r] = true
}

// Unblock takes a reason back; the last one to go begins slow start.
func (g *Guard) Unblock(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.blocks[r] {
		return
	}
	delete(g.blocks, r)
	if len(g.blocks) == 0 {
		g.restart()
	}
}

// SetBlocked blocks or unblocks.
func (g *Guard) SetBlocked(r Reason, blocked bool) {
	if blocked {
		g.Block(r)
		return
	}
	g.Unblock(r)
}

// Blocked returns the first standing reason, or ReasonNone.
func (g *Guard) Blocked() Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked()
}

func (g *Guard) blocked() Reason {
	for _, r := range order {
		if g.blocks[r] {
			return r
		}
	}
	return ReasonNone
}

// Admit takes one more request in, or says why not; an admitted request ends with Done.
func (g *Guard) Admit() *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.blocked(); r != ReasonNone {
		return &Refusal{Reason: r, RetryAfter: retryWhenOut}
	}
	if g.running >= int(g.limit) {
		return &Refusal{Reason: ReasonFull, RetryAfter: retryWhenFull}
	}
	g.running++
	g.admitted++
	return nil
}

// Sample is what one ended request tells of the upstream.
type Sample struct {
	// Known is false where the request tells nothing, since its caller left or it was not started.
	Known bool
	// Whole is true where the answer was whole.
	Whole bool
	// Pace is the time of a whole answer, for each of its bytes where its time goes by its length.
	Pace time.Duration
}

// Done ends a request that was admitted.
func (g *Guard) Done(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	switch {
	case !s.Known:
	case s.Whole:
		g.learn(s.Pace.Seconds())
	default:
		g.sign()
	}
}

func (g *Guard) learn(pace float64) {
	if g.usual == 0 {
		g.usual = pace
	}
	if pace > coldFactor*g.usual {
		g.sign()
		return
	}
	g.signs = 0
	g.usual += usualWeight * (pace - g.usual)
	if pace > slowFactor*g.usual {
		return
	}
	step := float64(g.options.MaxConcurrent-g.options.StartConcurrent) / float64(max(1, g.options.SlowStartRequests))
	g.limit = min(float64(g.options.MaxConcurrent), g.limit+step)
}

func (g *Guard) sign() {
	g.signs++
	if g.signs >= coldSigns {
		g.restart()
	}
}

func (g *Guard) restart() {
	g.limit = float64(g.options.StartConcurrent)
	g.signs = 0
}

// Restart begins slow start again, for an upstream that is known to have turned cold.
func (g *Guard) Restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restart()
}

// Load returns the limit and the requests in progress.
func (g *Guard) Load() (limit, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit), g.running
}

// Admitted returns the requests taken in so far.
func (g *Guard) Admitted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitted
}

// Idle returns a channel that is closed once no request is in progress.
func (g *Guard) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
