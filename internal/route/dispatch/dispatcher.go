package dispatch

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/route/claim"
	"github.com/oriolehub/oriolehub/internal/route/picker"
	"github.com/oriolehub/oriolehub/internal/route/queue"
	"github.com/oriolehub/oriolehub/internal/route/table"
	"github.com/oriolehub/oriolehub/internal/route/trace"
	"github.com/oriolehub/oriolehub/internal/rules/statement"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// affinityPrefixBytes is the length of the beginning of a body that is hashed for prefix affinity.
	affinityPrefixBytes = 256
	// cancelTimeout bounds the call that cancels an attempt after its caller has disconnected.
	cancelTimeout = time.Second
	// capacityPollInterval is the interval at which the request at the head of a queue checks for an upstream with
	// free capacity.
	capacityPollInterval = 2 * time.Millisecond
	// maxUnqueuedAttempts is the number of attempts that a request may make without queuing. Before each further
	// attempt, it joins the end of the queue.
	maxUnqueuedAttempts = 3
	// maxRuns is the number of attempts of an idempotent request that may run. A request whose upstreams are lost may be
	// the reason for that.
	maxRuns = 2
	// refusalBackoff is the time for which an upstream is avoided after it has refused a request for
	// a reason other than its concurrency limit.
	refusalBackoff = 500 * time.Millisecond
)

// Options configures a Dispatcher.
type Options struct {
	Table  *table.Builder
	Picker hub.Picker
	Calls  *call.Client
	Traces *trace.Buffer
	Log    *log.Logger
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// Bodies is the memory for the bodies of all requests together, nil for no limit.
	Bodies *listener.Budget
	// QueueWait is the maximum time after its arrival for which a request waits for an upstream with free
	// capacity.
	QueueWait time.Duration
	// MaxQueued is the maximum number of queued requests per group.
	MaxQueued int
	// Claims records which idempotency keys are in use.
	Claims  *claim.Registry
	Metrics *metrics.Set
}

// Dispatcher is the HTTP handler that routes the requests of callers to upstreams.
type Dispatcher struct {
	options Options
	retries retryBudget
	// queues maps the name of each group to its *queue.Queue.
	queues   sync.Map
	stopping atomic.Bool
	counters counters
}

type counters struct {
	answered, notRun, unknown, cut, retried *metrics.Counter
	duration                                *metrics.Histogram
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{options: o, counters: counters{
		answered: o.Metrics.NewCounter(`oriolehub_requests_total{outcome="answered"}`),
		notRun:   o.Metrics.NewCounter(`oriolehub_requests_total{outcome="not-run"}`),
		unknown:  o.Metrics.NewCounter(`oriolehub_requests_total{outcome="unknown"}`),
		cut:      o.Metrics.NewCounter(`oriolehub_requests_total{outcome="cut"}`),
		retried:  o.Metrics.NewCounter(`oriolehub_retries_total`),
		duration: o.Metrics.NewHistogram(`oriolehub_request_seconds`),
	}}
}

// queueOf returns the queue of a group.
func (d *Dispatcher) queueOf(group string) *queue.Queue {
	if q, ok := d.queues.Load(group); ok {
		return q.(*queue.Queue)
	}
	q, _ := d.queues.LoadOrStore(group, queue.New(d.options.MaxQueued))
	return q.(*queue.Queue)
}

// StopAccepting makes the dispatcher reject new requests with status 503.
func (d *Dispatcher) StopAccepting() { d.stopping.Store(true) }

// ServeHTTP handles one request of a caller.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	req, err := parse(w, r, d.options.MaxBodyBytes, d.options.Bodies)
	if err != nil {
		d.counters.notRun.Inc()
		writeRequestError(w, r.Header.Get(HeaderRequestID), err)
		return
	}
	defer req.release()
	if d.stopping.Load() {
		d.counters.notRun.Inc()
		refuse(w, req.id, http.StatusServiceUnavailable, "this entry process is stopping", time.Second)
		return
	}
	record := d.options.Traces.Open(req.id)
	s := &requestState{dispatcher: d, writer: w, request: req, record: record, deadline: started.Add(d.options.QueueWait)}
	d.retries.deposit()
	outcome := s.serve(r.Context())
	d.counters.duration.UpdateDuration(started)
	d.countOutcome(outcome)
	record.Add(trace.Step{Event: "outcome " + outcome.String()})
	if outcome == call.Cut {
		// Aborting the connection makes the caller's HTTP library report an error; after a regular end, the
		// truncated response could pass for a complete one.
		panic(http.ErrAbortHandler)
	}
}

func (d *Dispatcher) countOutcome(o call.Outcome) {
	switch o {
	case call.Answered:
		d.counters.answered.Inc()
	case call.NotRun:
		d.counters.notRun.Inc()
	case call.Unknown:
		d.counters.unknown.Inc()
	case call.Cut:
		d.counters.cut.Inc()
	}
}

// requestState is the state of one caller's request.
type requestState struct {
	dispatcher *Dispatcher
	writer     http.ResponseWriter
	request    *request
	record     *trace.Record
	// deadline is the time until which the request waits for an upstream with free capacity.
	deadline time.Time
	// attempts is the number of attempts made.
	attempts int
	// runs is the number of attempts that may have run and whose response is lost.
	runs int
	// lost is the upstream of the last such attempt, nil if there is none.
	lost       *table.Upstream
	idempotent bool
	// lastReason is the reason for which the last attempt or the queue rejected the request.
	lastReason string
	// claim is the claim of the idempotency key to release if the request does not run, nil if there is none.
	claim *claim.Claim
}

// serve handles the request and returns its outcome. A request that is not idempotent but has an idempotency
// key first claims the key. The claim is released if the request has not run, so that the caller may send it
// again with the same key.
func (s *requestState) serve(ctx context.Context) call.Outcome {
	if g := s.dispatcher.options.Table.Current().Groups[s.request.group]; g != nil && s.mustClaim(g) {
		if !s.acquireClaim(ctx) {
			return call.NotRun
		}
	}
	return s.route(ctx)
}

func (s *requestState) route(ctx context.Context) call.Outcome {
	for {
		t := s.dispatcher.options.Table.Current()
		g := t.Groups[s.request.group]
		if g == nil {
			return s.refuseUnknownGroup(t)
		}
		s.idempotent = g.Rule.IsIdempotent(s.request.method, s.request.path)
		if s.runs > 0 && !s.idempotent {
			return s.refuse(http.StatusServiceUnavailable, s.lastReason, 0)
		}
		u := s.nextUpstream(ctx, t, g)
		if u == nil {
			return s.refuseNoCapacity(g)
		}
		result := s.attempt(ctx, t, u)
		if done, outcome := s.handleResult(ctx, u, result); done {
			return outcome
		}
	}
}

// nextUpstream returns an upstream with free capacity. It waits in the queue of the group if there is none, if other
// requests are queued or if the request has made maxUnqueuedAttempts attempts. It returns nil at the deadline, when
// ctx is done, if the queue is full, if the request is evicted from it or if the rules no longer contain the group.
func (s *requestState) nextUpstream(ctx context.Context, t *table.Table, g *table.Group) *table.Upstream {
	q := s.dispatcher.queueOf(s.request.group)
	if q.Empty() && s.attempts < maxUnqueuedAttempts {
		if u := s.choose(g); u != nil {
			return u
		}
	}
	ticket, err := q.Enter(s.request.account, t.Rules.ShareOf(s.request.account))
	if err != nil {
		s.lastReason = err.Error()
		return nil
	}
	defer q.Leave(ticket)
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil
	case <-ticket.Evicted():
		s.lastReason = queue.ErrFull.Error()
		return nil
	case <-ticket.Head():
	}
	u := s.waitForCapacity(ctx)
	if u != nil {
		q.Served(ticket)
	}
	return u
}

// waitForCapacity polls for an upstream with free capacity until ctx is done. Each poll uses the current table, since
// the rules may change meanwhile. It returns nil if ctx is done or the rules no longer contain the group.
func (s *requestState) waitForCapacity(ctx context.Context) *table.Upstream {
	ticker := time.NewTicker(capacityPollInterval)
	defer ticker.Stop()
	for {
		g := s.dispatcher.options.Table.Current().Groups[s.request.group]
		if g == nil {
			return nil
		}
		if u := s.choose(g); u != nil {
			return u
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *requestState) refuseUnknownGroup(t *table.Table) call.Outcome {
	if t.RulesRevision == 0 {
		return s.refuse(http.StatusServiceUnavailable, "no rules are known yet", time.Second)
	}
	return s.refuse(http.StatusNotFound, fmt.Sprintf("no rule names the group %q", s.request.group), 0)
}

func (s *requestState) refuseNoCapacity(g *table.Group) call.Outcome {
	reason := "all upstreams of the group are at their limit"
	if len(g.Upstreams) == 0 {
		reason = fmt.Sprintf("none of the %d upstreams of the group is in service", g.MemberCount)
	}
	if s.lastReason != "" {
		reason += "; the last one tried said: " + s.lastReason
	}
	return s.refuse(http.StatusServiceUnavailable, reason, time.Second)
}

// choose picks an upstream with free capacity, which is the one that lost an earlier attempt only if there is no other.
func (s *requestState) choose(g *table.Group) *table.Upstream {
	if s.lost == nil {
		return s.chooseFrom(g, g.Upstreams)
	}
	if u := s.chooseFrom(g, without(g.Upstreams, s.lost)); u != nil {
		return u
	}
	return s.chooseFrom(g, g.Upstreams)
}

// without returns the upstreams other than u.
func without(upstreams []*table.Upstream, u *table.Upstream) []*table.Upstream {
	return slices.DeleteFunc(slices.Clone(upstreams), func(other *table.Upstream) bool { return other == u })
}

// chooseFrom picks an upstream with free capacity among those given and logs the choice; it returns nil if there is none.
func (s *requestState) chooseFrom(g *table.Group, upstreams []*table.Upstream) *table.Upstream {
	o := &s.dispatcher.options
	choice := table.Candidates{Upstreams: upstreams, Now: time.Now().UnixNano()}
	i, other := o.Picker.Pick(&choice, s.affinity(g))
	if i < 0 {
		return nil
	}
	u := upstreams[i]
	s.logChoice(&choice, i, other)
	s.record.Add(trace.Step{Event: "chosen", Upstream: u.Id, Detail: u.Domain})
	return u
}

func (s *requestState) logChoice(choice *table.Candidates, i, other int) {
	line := s.dispatcher.options.Log.Info()
	if line == nil {
		return
	}
	score, _ := picker.Score(choice.At(i))
	u := choice.Upstreams[i]
	line = line.Str("Request", s.request.id).Str("Account", s.request.account).Str("Group", s.request.group).
		Str("Upstream", u.Id).Str("Domain", u.Domain).Float64("Score", score).Int("Attempt", s.attempts+1)
	if other >= 0 {
		otherScore, _ := picker.Score(choice.At(other))
		line = line.Str("Other", choice.Upstreams[other].Id).Float64("OtherScore", otherScore)
	}
	if s.lastReason != "" {
		line = line.Str("Reason", "after: "+s.lastReason)
	}
	line.Msg("routed")
}

// affinity returns a hash of the beginning of the body, or 0 if the upstreams are not engines or the body is
// shorter than affinityPrefixBytes.
func (s *requestState) affinity(g *table.Group) uint64 {
	if g.Rule.Kind != statement.KindEngine || len(s.request.body) < affinityPrefixBytes {
		return 0
	}
	return xxhash.Sum64(s.request.body[:affinityPrefixBytes])
}

func (s *requestState) attempt(ctx context.Context, t *table.Table, u *table.Upstream) call.Result {
	s.attempts++
	r := &message.RunRequest{
		AttemptId:     newID(),
		RequestId:     s.request.id,
		Account:       s.request.account,
		Group:         s.request.group,
		Method:        s.request.method,
		Target:        s.request.target,
		Headers:       s.request.headers,
		Body:          s.request.body,
		Idempotent:    s.idempotent,
		RulesRevision: t.RulesRevision,
		Incarnation:   u.Incarnation,
	}
	u.Begin()
	defer u.End()
	result := s.dispatcher.options.Calls.Do(ctx, u.Address, r, &sink{w: s.writer, upstream: u.Id, request: s.request})
	s.record.Add(trace.Step{Event: result.Outcome.String(), Upstream: u.Id, Attempt: r.GetAttemptId(), Detail: result.Reason})
	if (result.SinkErr != nil || ctx.Err() != nil) && s.idempotent {
		s.cancel(u, r.GetAttemptId())
	}
	return result
}

func (s *requestState) cancel(u *table.Upstream, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.dispatcher.options.Calls.Cancel(ctx, u.Address, attemptID)
}

// handleResult handles the result of an attempt. It returns true and the outcome if the request ends with this attempt,
// after it has sent the response if the caller is still connected and the attempt has sent none.
func (s *requestState) handleResult(ctx context.Context, u *table.Upstream, r call.Result) (bool, call.Outcome) {
	if r.Limit > 0 {
		u.ObserveLoad(r.Limit, r.Running)
	}
	s.lastReason = r.Reason
	switch r.Outcome {
	case call.Answered:
		u.ObserveLatency(r.TimeToHead)
		return true, call.Answered
	case call.NotRun:
		s.avoid(u, r)
		if ctx.Err() != nil && s.runs > 0 {
			return true, call.Unknown
		}
		if ctx.Err() != nil {
			s.releaseClaim()
			return true, call.NotRun
		}
		if time.Now().After(s.deadline) {
			return true, s.refuse(http.StatusServiceUnavailable, r.Reason, max(time.Second, r.RetryAfter))
		}
		return false, call.NotRun
	case call.Unknown:
		u.ObserveFailure()
		s.runs++
		s.lost = u
		if s.idempotent && s.runs < maxRuns && ctx.Err() == nil && s.dispatcher.retries.withdraw() {
			s.dispatcher.counters.retried.Inc()
			return false, call.Unknown
		}
		respondUnknown(s.writer, s.request.id, r.Reason)
		return true, call.Unknown
	default:
		if r.SinkErr == nil {
			u.ObserveFailure()
		}
		return true, call.Cut
	}
}

// avoid prevents an upstream that has refused a request from being chosen again immediately.
func (s *requestState) avoid(u *table.Upstream, r call.Result) {
	switch {
	case !r.Dialed:
		u.ObserveFailure()
	case r.Limit > 0 && r.Running >= r.Limit:
		// The reported load already excludes the upstream while it is at its limit.
	default:
		u.Avoid(refusalBackoff)
	}
}

// newID returns a random ID for a request, an attempt or a claim.
func newID() string {
	return rand.Text()
}
