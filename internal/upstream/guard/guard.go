package guard

import (
	"sync"
	"time"
)

// Reason is the reason for which a request is refused; a refused request has not run.
type Reason string

// Reasons for a refusal.
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

// Transient reports whether another upstream of the same group may accept the request.
func (r Reason) Transient() bool {
	return r != ReasonGroup
}

// Options are the limits of one upstream.
type Options struct {
	// MaxConcurrent is the maximum number of concurrent requests at a warm upstream.
	MaxConcurrent int
	// StartConcurrent is the maximum number of concurrent requests at the beginning of slow start.
	StartConcurrent int
	// SlowStartRequests is the number of successful responses that raise the limit from StartConcurrent to MaxConcurrent.
	SlowStartRequests int
}

const (
	// slowFactor is the ratio of the pace to the baseline above which the limit does not grow.
	slowFactor = 1.5
	// coldFactor is the ratio of the pace to the baseline above which a response indicates a cold upstream.
	coldFactor = 2.5
	// maxColdStreak is the number of consecutive failed or very slow responses after which slow start begins again.
	maxColdStreak = 3
	// baselineWeight is the weight of a new pace in the moving average that is the baseline.
	baselineWeight = 0.05
	// retryAfterFull is the suggested delay before a retry at an upstream that has reached its limit.
	retryAfterFull = 200 * time.Millisecond
	// retryAfterBlocked is the suggested delay before a retry at an upstream that refuses all requests.
	retryAfterBlocked = time.Second
)

// Refusal is the reason for which a request was not run, with the suggested delay before a retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Guard limits the number of requests in progress. It is safe for concurrent use.
//
// In slow start, the limit begins at StartConcurrent, grows by a constant step with each successful response and
// reaches MaxConcurrent after SlowStartRequests of them. It does not grow while responses are slow. Several failed or
// very slow responses in a row reset it to StartConcurrent, because an upstream may become cold without notice.
type Guard struct {
	options Options

	mu      sync.Mutex
	limit   float64
	running int
	// baseline is the moving average of the pace of successful responses in seconds, 0 before the first one.
	baseline float64
	// coldStreak is the number of consecutive failed or very slow responses.
	coldStreak int
	// blocks holds the reasons for which all requests are refused.
	blocks map[Reason]bool
	// idle is closed once running is 0; nil unless Idle was called while requests were in progress.
	idle chan struct{}
	// admitted is the number of requests admitted since New.
	admitted int
}

// New returns a guard that refuses all requests until ReasonNoRules and ReasonNotLoaded have been unblocked.
func New(o Options) *Guard {
	g := &Guard{options: o, limit: float64(o.StartConcurrent), blocks: map[Reason]bool{}}
	g.blocks[ReasonNoRules] = true
	g.blocks[ReasonNotLoaded] = true
	return g
}

// reasonOrder is the order in which Blocked reports reasons if several apply.
var reasonOrder = []Reason{ReasonLeaving, ReasonDomainOut, ReasonNoRules, ReasonLoading, ReasonNotLoaded, ReasonEngineDown, ReasonGroup}

// Block refuses all new requests for the given reason until Unblock.
func (g *Guard) Block(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocks[r] = true
}

// Unblock removes a reason; slow start begins when the last one is removed.
func (g *Guard) Unblock(r Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.blocks[r] {
		return
	}
	delete(g.blocks, r)
	if len(g.blocks) == 0 {
		g.restartSlowStart()
	}
}

// SetBlocked calls Block if blocked is true, otherwise Unblock.
func (g *Guard) SetBlocked(r Reason, blocked bool) {
	if blocked {
		g.Block(r)
		return
	}
	g.Unblock(r)
}

// Blocked returns the first reason of reasonOrder that is blocked, or ReasonNone.
func (g *Guard) Blocked() Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked()
}

func (g *Guard) blocked() Reason {
	for _, r := range reasonOrder {
		if g.blocks[r] {
			return r
		}
	}
	return ReasonNone
}

// Admit counts one more request in progress and returns nil, or returns the refusal. Done must be called once for each
// admitted request.
func (g *Guard) Admit() *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.blocked(); r != ReasonNone {
		return &Refusal{Reason: r, RetryAfter: retryAfterBlocked}
	}
	if g.running >= int(g.limit) {
		return &Refusal{Reason: ReasonFull, RetryAfter: retryAfterFull}
	}
	g.running++
	g.admitted++
	return nil
}

// Sample is the outcome of a finished request as a measure of the upstream's health.
type Sample struct {
	// Valid is false if the outcome does not depend on the upstream, because the caller disconnected or the request was
	// not started.
	Valid bool
	// Complete is true if the response was received completely.
	Complete bool
	// Pace is the duration of a complete response, divided by its length in bytes if the response time is proportional
	// to the length.
	Pace time.Duration
}

// Done ends an admitted request and adjusts the limit by its outcome.
func (g *Guard) Done(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	switch {
	case !s.Valid:
	case s.Complete:
		g.recordPace(s.Pace.Seconds())
	default:
		g.recordColdSign()
	}
}

// recordPace updates the baseline and the limit with the pace of a complete response, in seconds.
func (g *Guard) recordPace(pace float64) {
	if g.baseline == 0 {
		g.baseline = pace
	}
	if pace > coldFactor*g.baseline {
		g.recordColdSign()
		return
	}
	g.coldStreak = 0
	g.baseline += baselineWeight * (pace - g.baseline)
	if pace > slowFactor*g.baseline {
		return
	}
	step := float64(g.options.MaxConcurrent-g.options.StartConcurrent) / float64(max(1, g.options.SlowStartRequests))
	g.limit = min(float64(g.options.MaxConcurrent), g.limit+step)
}

// recordColdSign counts a failed or very slow response.
func (g *Guard) recordColdSign() {
	g.coldStreak++
	if g.coldStreak >= maxColdStreak {
		g.restartSlowStart()
	}
}

func (g *Guard) restartSlowStart() {
	g.limit = float64(g.options.StartConcurrent)
	g.coldStreak = 0
}

// RestartSlowStart resets the limit to StartConcurrent, for an upstream that is known to be cold.
func (g *Guard) RestartSlowStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restartSlowStart()
}

// Load returns the current limit and the number of requests in progress.
func (g *Guard) Load() (limit, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit), g.running
}

// Admitted returns the number of requests admitted since New.
func (g *Guard) Admitted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitted
}

// Idle returns a channel that is closed as soon as no request is in progress.
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
