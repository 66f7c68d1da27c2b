package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

const (
	// queueTimeoutDivisor divides the objective to give the time for which a request may wait for an upstream.
	queueTimeoutDivisor = 4
	// minWait is the minimum of the time that a request may wait for an upstream, and of the time that a retryable
	// request may wait for a response before it is retried.
	minWait = 60 * time.Millisecond
	// backlogFraction is the fraction of the objective for which a prompt may wait behind others at an engine.
	// Prompts that wait there also lengthen the pauses of the streams in progress.
	backlogFraction = 0.2
	// maxSent limits how often one request is sent, including the attempts that upstreams refuse.
	maxSent = 4
	// resumedPriority puts a resumed stream before all new requests in the queue, because its caller waits in the
	// middle of a response. For the same reason it gets the highest priority, highestUpstreamPriority, at the
	// upstream.
	resumedPriority         = -1
	highestUpstreamPriority = 0
	lowestUpstreamPriority  = 9
	// missedObjectivePriority is added to the priority of requests whose objective is already missed, so that they
	// wait behind all others.
	missedObjectivePriority = 100
	// sentAheadPriority is added to the priority of requests that the caller sent before the response to the previous one on the
	// connection began. Otherwise a caller that sends thousands of requests and reads nothing has one in the queue at any time,
	// and callers that wait for their responses rarely get a slot.
	sentAheadPriority = 1000
	// attemptTimeoutFactor times the objective is the time without a response after which a hedge of a retryable request is
	// made.
	attemptTimeoutFactor = 3
	// pauseSpread is the fraction of the pause that upstreams have asked for over which the return of the refused
	// callers is spread.
	pauseSpread = 0.25
	// minRemaining is the minimum time before the deadline at which a request is still sent.
	minRemaining = 20 * time.Millisecond
)

// The outcomes of requests in the log whose response is complete: one of an upstream and one of this process.
const (
	outcomeAnswered = "answered"
	outcomeOwn      = "own"
)

var (
	errRefused = errors.New("upstream refused")
	// errOtherVersion means that the upstream does not hold the weights that it is listed with, or that another instance has
	// its address.
	errOtherVersion = fmt.Errorf("%w: other instance or version", errRefused)
	errFailed       = errors.New("upstream answered with a failure")
	errSlow         = errors.New("upstream does not answer")
	// errReplaced means that the version of an upstream is due to be replaced and that it has not begun to respond.
	errReplaced = errors.New("version of the upstream is due to be replaced")
	// errUnneeded means that the upstream of the first attempt has responded while a hedge was awaited.
	errUnneeded = errors.New("first attempt has been answered")
	errTimedOut = errors.New("time is up")
	errStopping = errors.New("process is stopping")
	errGone     = errors.New("caller has left")
	// errQuarantined means that upstreams crash under the request or under others that share a part with it.
	errQuarantined = errors.New("request or part of its prompt is in quarantine")
)

// exchange is a caller's request with its response.
type exchange struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	deadline time.Time
	// limit ends the request at its deadline.
	limit  *time.Timer
	caller hub.RequestInfo
	// sentAhead is true if the caller sent the request before the response to the previous one began.
	sentAhead bool
	// snapshot is the desired state in which route and account were found.
	snapshot *directory.Snapshot
	route    *hub.Route
	// account is the client account of the caller, nil if the request carries no valid API key.
	account *hub.Account
	body    []byte
	// bodyRead is true once all of the body has been read.
	bodyRead bool
	service  string

	// sent is the number of attempts, runs the number of those that may have run at an upstream.
	sent int
	runs int
	// hedge is the attempt that goes on in place of the last one, nil if there is none.
	hedge *hedge
	// events are the events of the hedge that the exchange goes on with, nil once they are read.
	events *eventReader
	// failure is the reason why the last attempt failed, nil if none has.
	failure error
	// trace describes how the last attempt was sent.
	trace channel.Trace
	// tried lists the upstreams that must not be chosen again.
	tried []directory.Key
	// refusedBy lists the upstreams that refused the request.
	refusedBy []directory.Key
	// resets is the number of attempts that ended with a reset by the connection limit of an upstream.
	resets int
	// relay is the state of the response stream, nil until the first event has been forwarded.
	relay *relay
	// begun is true once relay is set. Unlike relay it may be read in any goroutine.
	begun atomic.Bool
	// responding is true once the header of a response has been sent to the caller, complete once all of it has been written.
	responding bool
	complete   bool
	// timeProbe is true if the request is sent although too little time may remain.
	timeProbe bool
	// awaitsLoad is true while a stream that has begun waits for engines that load weights.
	awaitsLoad bool
	// keys are the keys under which the quarantine knows the request.
	keys quarantine.Keys
	// crashed is true once an upstream has crashed under the request.
	crashed bool
	// decision is the decision of the quarantine whether the request may be sent.
	decision quarantine.Decision
	// pauseLeft is the time until an upstream may take the request after the pause that it has asked for, set if all
	// have asked for one.
	pauseLeft time.Duration
	// toldRetryAfter is the Retry-After time of a refusal.
	toldRetryAfter time.Duration
	// requestMemory, responseMemory and errorMemory are the memory that is held for the body of the request, of the response
	// that is read and of errorResponse.
	requestMemory  holding
	responseMemory holding
	errorMemory    holding
	// errorResponse is the latest 5xx response to a retryable request. It is forwarded if no further attempt succeeds.
	errorResponse *bufferedResponse
}

// run makes attempts until the caller has received a response or no further attempt is allowed.
func (x *exchange) run() {
	x.service = pickTarget(x.route.Targets)
	x.keys = x.quarantineKeys()
	x.handler.options.RetryBudget.CountRequest(x.service)
	ctx, interrupt := context.WithCancelCause(x.r.Context())
	defer interrupt(nil)
	x.limit = time.AfterFunc(time.Until(x.deadline), func() { interrupt(errTimedOut) })
	defer x.limit.Stop()
	stop := x.whenInterrupted(func() { x.interruptUnlessBegun(interrupt) })
	defer stop()
	stopCut := x.whenCut(func() { interrupt(errStopping) })
	defer stopCut()
	defer func() { x.hedge.release() }()
	for {
		choice, err := x.choose(ctx)
		if err != nil {
			x.giveUp(ctx, err)
			return
		}
		if err = x.attemptAt(ctx, &choice); err == nil {
			return
		}
		if !x.mayRetry(ctx, err) {
			x.giveUp(ctx, err)
			return
		}
		x.waitAfterResets(ctx, err)
	}
}

// attemptAt makes an attempt at the chosen upstream, and goes on with hedges as long as these take its place. It returns nil if the
// exchange is finished, else the reason why the last attempt failed.
func (x *exchange) attemptAt(ctx context.Context, c *placement.Choice) error {
	err := x.attempt(ctx, c)
	for err != nil {
		h := x.hedge
		if h == nil || ctx.Err() != nil {
			return err
		}
		x.hedge, x.timeProbe = nil, false
		err = x.adopt(ctx, h)
	}
	return nil
}

// choose returns the upstream of the next attempt, for which the request may have waited, with a slot there.
func (x *exchange) choose(ctx context.Context) (placement.Choice, error) {
	if x.decision = x.checkQuarantine(); x.decision.Blocked() {
		return placement.Choice{}, errQuarantined
	}
	choice, err := x.acquireInTime(ctx)
	for err != nil && x.keepsWaiting(ctx, err) {
		choice, err = x.acquireInTime(ctx)
	}
	return choice, err
}

// checkQuarantine returns the decision of the quarantine whether the request may be sent. A request that is a probe stays
// one until it has been sent.
func (x *exchange) checkQuarantine() quarantine.Decision {
	if x.decision.Probe() {
		return x.decision
	}
	return x.handler.options.Quarantine.Check(&x.keys)
}

// quarantineKeys returns the keys under which the quarantine knows the request.
func (x *exchange) quarantineKeys() quarantine.Keys {
	c := quarantine.Content{Method: x.r.Method, Host: x.r.Host, Target: x.target(), Body: x.body, Prompt: x.caller.Prompt, SharedParts: x.caller.SharedParts}
	if x.account != nil {
		c.Account = x.account.Name
	}
	return quarantine.KeysOf(x.service, &c)
}

// pickTarget chooses a service at random in proportion to the weights of targets, the first if all weights are 0.
func pickTarget(targets []hub.Target) string {
	total := 0
	for _, t := range targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return targets[0].Service
	}
	at := rand.IntN(total)
	for _, t := range targets {
		if at -= max(0, t.Weight); at < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// requirements returns the requirements of the request on its upstream.
func (x *exchange) requirements() *placement.Requirements {
	r := &placement.Requirements{Service: x.service, Priority: x.route.Priority, Regions: [][]string{x.route.Regions}, Tried: x.tried, PromptTokens: x.caller.PromptTokens, ResponseTokens: x.caller.ResponseTokens, Backlog: fraction(x.route.Objective, backlogFraction)}
	if x.account != nil {
		r.Account = x.account.Name
		r.Regions = append(r.Regions, x.account.Regions)
		if x.account.HasPriority {
			r.Priority = x.account.Priority
		}
	}
	switch {
	case x.relay != nil:
		requireForResumed(r)
		r.Events = x.relay.events
	case x.missedObjective():
		r.Priority += missedObjectivePriority
	}
	if x.relay == nil && x.sentAhead {
		r.Priority += sentAheadPriority
	}
	return r
}

// requireForResumed changes the requirements of a request to those of its stream that has begun.
func requireForResumed(r *placement.Requirements) { r.Priority, r.Backlog = resumedPriority, 0 }

// acquire chooses an upstream and reserves a slot there, waiting for up to queueTimeout. It returns errDenied if the
// desired state has changed meanwhile and no longer allows the request.
func (x *exchange) acquire(ctx context.Context) (placement.Choice, error) {
	choice, err := x.handler.options.Placement.Acquire(ctx, x.requirements(), x.queueTimeout())
	if err != nil {
		x.pauseLeft = choice.PauseLeft
		return choice, err
	}
	if x.decision = x.checkQuarantine(); x.decision.Blocked() {
		choice.Release()
		return choice, errQuarantined
	}
	if s := x.handler.options.Directory.Current(); s.Revision != x.snapshot.Revision && !x.stillAllowed(s) {
		choice.Release()
		return choice, errDenied
	}
	return choice, nil
}

// errDenied means that the desired state no longer allows the request and that the caller has received a response.
var errDenied = errors.New("no longer allowed")

// stillAllowed checks a request that has not been sent yet against a newer desired state, and responds with an error
// if that no longer allows it.
func (x *exchange) stillAllowed(s *directory.Snapshot) bool {
	if x.sent > 0 {
		return true
	}
	if !x.authorize(s) {
		return false
	}
	x.limit.Reset(time.Until(x.deadline))
	for _, t := range x.route.Targets {
		if t.Service == x.service {
			return true
		}
	}
	x.refuse("route moved to another service", 0)
	return false
}

// missedObjective reports whether the caller has already waited longer than the objective in an earlier request that it
// now retries, judging by how much shorter its wait time is than the route's timeout.
func (x *exchange) missedObjective() bool {
	return x.caller.Wait > 0 && x.caller.Wait < x.route.Timeout-x.route.Objective
}

// queueTimeout returns the time for which the request may wait for an upstream. A stream that waits for engines that load does not
// wait in the queue, where it would be before new requests that others can run.
func (x *exchange) queueTimeout() time.Duration {
	if x.awaitsLoad {
		return 0
	}
	wait := max(minWait, x.route.Objective/queueTimeoutDivisor)
	return min(wait, time.Until(x.deadline))
}

// sentTooOften reports whether the request has been sent as often as it may. For a stream that has begun, connections on which nothing
// could be sent don't count as long as its caller waits.
func (x *exchange) sentTooOften() bool {
	if x.relay != nil && time.Since(x.relay.lastAt) < callerPatience {
		return x.runs+len(x.refusedBy) >= maxSent
	}
	return x.sent >= maxSent
}

// mayRetry reports whether the request may be sent again after an attempt that failed with err. It takes the
// retry from the service's retry budget, except after an attempt of which no byte was sent.
func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.sentTooOften() || time.Until(x.deadline) < minRemaining || errors.Is(err, errTimedOut) || errors.Is(err, errGone) {
		return false
	}
	if x.relay != nil && x.relay.sequence.Last() == "" {
		// A second run would repeat the events that were forwarded.
		return false
	}
	ran := !errors.Is(err, errRefused) && !errors.Is(err, channel.ErrNotSent)
	if ran && !x.route.Retryable() || x.runs >= x.route.MaxAttempts {
		return false
	}
	if errors.Is(err, channel.ErrNotSent) {
		return x.timeForAnother()
	}
	x.timeProbe = false
	if !x.handler.options.RetryBudget.Allows(x.service) || !x.timeForAnother() {
		return false
	}
	if !x.handler.options.RetryBudget.Take(x.service) {
		x.returnProbe()
		return false
	}
	return true
}

// giveUp ends a request that will not be sent again because of err: it responds with the reason, forwards the stored
// error response, or aborts the stream or connection.
func (x *exchange) giveUp(ctx context.Context, err error) {
	gone := x.r.Context().Err() != nil
	if errors.Is(err, errQuarantined) {
		x.handler.options.Quarantine.Refused()
	}
	if x.crashed {
		x.handler.options.Quarantine.Unanswered(&x.keys)
	}
	switch {
	case errors.Is(err, errDenied):
	case x.relay != nil:
		x.relay.abort(err)
	case gone:
		x.finish("gone", 0, errGone.Error())
		panic(http.ErrAbortHandler)
	case x.errorResponse != nil:
		x.writeResponse(x.errorResponse)
	case x.runs == 0:
		x.refuse(reasonOf(ctx, err), x.retryAfter(err))
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, reasonOf(ctx, err))
	default:
		x.fail(http.StatusBadGateway, reasonOf(ctx, err))
	}
}

// retryAfter returns the time after which an upstream is likely to have room: short if upstreams are at their limits,
// long if no upstream serves the request, and the end of the pause if upstreams have asked for one.
func (x *exchange) retryAfter(err error) time.Duration {
	if errors.Is(err, errQuarantined) {
		return x.decision.Left
	}
	if errors.Is(err, errStopping) {
		return stoppingRetryAfter
	}
	if errors.Is(err, placement.ErrPaused) {
		return x.pauseLeft + rand.N(max(busyRetryAfter, fraction(x.pauseLeft, pauseSpread)))
	}
	if errors.Is(err, placement.ErrNoUpstream) || errors.Is(err, errOtherVersion) {
		return fraction(max(busyRetryAfter, time.Until(x.deadline)), noUpstreamRetryFraction)
	}
	return busyRetry(x.handler.options.Placement.Pressure(x.service), time.Until(x.deadline))
}

// fraction returns d multiplied by f.
func fraction(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

// reasonOf returns the text for the caller of the cause of ctx if it is done, else that of err.
func reasonOf(ctx context.Context, err error) string {
	if cause := context.Cause(ctx); cause != nil {
		return cause.Error()
	}
	return response.Reason(err)
}

// logChoice logs the upstream of the attempt with the given number.
func (x *exchange) logChoice(c *placement.Choice, remaining time.Duration, sending int) {
	line := x.handler.options.Log.Info().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Str("Address", c.Upstream.Address).
		Int("Running", c.Running).Dur("Overrun", c.Overrun).Int("Candidates", c.Candidates).Uint64("Held", c.Held).Dur("ReportAge", c.ReportAge).
		Uint64("Upstreams", x.snapshot.UpstreamsRevision).Int("Sending", sending).Dur("Waited", time.Since(x.started)).Dur("Left", remaining)
	if limit := c.Load.RateLimit(); limit.Named {
		x.handler.sentToLimited.Inc()
		line = line.Float64("RateLimit", limit.PerSecond)
	}
	x.handler.replacements.sent(c, line).Msg("upstream chosen")
}

// logLeaving logs the first response in which the upstream says that it is leaving.
func (x *exchange) logLeaving(c *placement.Choice) {
	if !c.Load.Leaving() {
		x.handler.options.Log.Info().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Int64("Born", c.Upstream.Born).Msg("upstream says that it is leaving")
	}
}

func (x *exchange) logPause(c *placement.Choice, pause time.Duration) {
	x.handler.options.Log.Info().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Dur("Pause", pause).Msg("upstream asks for a pause")
}

// logRateLimit logs that the rate limit which an upstream names has changed.
func (x *exchange) logRateLimit(c *placement.Choice, limit hub.RateLimit) {
	line := x.handler.options.Log.Info().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Int64("Born", c.Upstream.Born)
	if !limit.Named {
		line.Msg("upstream names no rate limit any more")
		return
	}
	line.Float64("RateLimit", limit.PerSecond).Msg("upstream names a rate limit")
}

// failed records and logs why the latest attempt failed. Hedges made during it must not have been added yet.
func (x *exchange) failed(c *placement.Choice, err error) {
	x.failure = err
	x.logFailure(c, err, &x.trace, x.sent)
}

// logFailure logs why the attempt with the given number failed.
func (x *exchange) logFailure(c *placement.Choice, err error, trace *channel.Trace, sending int) {
	line := x.handler.options.Log.Warn().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Int("Sending", sending)
	if !trace.SentAt.IsZero() {
		line = line.Dur("SinceSent", time.Since(trace.SentAt)).Bool("Reused", trace.Reused)
	}
	by := endedBy(err)
	if by == endedByVersion {
		line = x.handler.replacements.endedAttempt(c, line)
	}
	line.Str("EndedBy", by).Err(err).Msg("attempt failed")
}
