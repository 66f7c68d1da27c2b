package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// patienceParts is the part of the objective for which a request may wait for room, as a divisor.
	patienceParts = 4
	minPatience   = 60 * time.Millisecond
	// backlogPart is the part of the objective for which a prompt may wait behind others at an engine; what
	// waits there also lengthens the pauses of the streams in progress.
	backlogPart = 0.2
	// maxSent bounds the sendings of one request, refused ones included.
	maxSent = 4
	// resumedPriority ranks a stream that goes on before every request that has not begun, here and, as
	// firstPriority, at the upstream: its caller waits in the middle of an answer.
	resumedPriority = -1
	firstPriority   = 0
	// cameBackRank ranks requests that can't be answered in time any more behind all that can.
	cameBackRank = 100
	// slowFactor is how many times its objective an answer that may be repeated may take before another
	// upstream is asked.
	slowFactor = 3
	// leastRemaining is the time left below which nothing is sent any more.
	leastRemaining = 20 * time.Millisecond
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 32 << 20
)

var (
	errRefused  = errors.New("upstream refused")
	errFailed   = errors.New("upstream answered with a failure")
	errSlow     = errors.New("upstream does not answer")
	errTimedOut = errors.New("time is up")
	errGone     = errors.New("caller has left")
)

// exchange is one request of a caller.
type exchange struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	deadline time.Time
	caller   hub.Caller
	snapshot *directory.Snapshot
	route    *hub.Route
	account  *hub.Account
	body     []byte
	service  string

	// sent counts the sendings, runs those that may have run.
	sent  int
	runs  int
	tried []directory.Key
	relay *relay
	// kept is a whole answer of a failure that the upstream gave, passed on if nothing better comes.
	kept *wholeAnswer
	last error
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request until it is answered or given up.
func (x *exchange) run() {
	x.service = pickTarget(x.route.Targets)
	x.handler.options.Repeats.Request(x.service)
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errTimedOut)
	defer cancel()
	for {
		choice, err := x.acquire(ctx)
		if err != nil {
			x.giveUp(ctx, err)
			return
		}
		err = x.attempt(ctx, &choice)
		choice.Release()
		if err == nil {
			return
		}
		x.last = err
		x.logFailure(&choice, err)
		if !x.mayRepeat(ctx, err) {
			x.giveUp(ctx, err)
			return
		}
	}
}

// pickTarget chooses a service by weight.
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

func (x *exchange) acquire(ctx context.Context) (placement.Choice, error) {
	need := placement.Need{Service: x.service, Priority: x.route.Priority, Regions: [][]string{x.route.Regions}, Tried: x.tried, PromptTokens: x.caller.PromptTokens, Backlog: part(x.route.Objective, backlogPart)}
	if x.account != nil {
		need.Account = x.account.Name
		need.Regions = append(need.Regions, x.account.Regions)
		if x.account.HasPriority {
			need.Priority = x.account.Priority
		}
	}
	switch {
	case x.relay != nil:
		need.Priority, need.Backlog = resumedPriority, 0
	case x.cameBack():
		need.Priority += cameBackRank
	}
	choice, err := x.handler.options.Placement.Acquire(ctx, &need, x.patience())
	if err != nil {
		return choice, err
	}
	if s := x.handler.options.Directory.Current(); s.Revision != x.snapshot.Revision && !x.stillAllowed(s) {
		choice.Release()
		return choice, errDenied
	}
	return choice, nil
}

// errDenied reports that the desired state no longer allows the request, which has been answered.
var errDenied = errors.New("no longer allowed")

// stillAllowed checks the request against a newer desired state before it is sent.
func (x *exchange) stillAllowed(s *directory.Snapshot) bool {
	if x.sent > 0 {
		return true
	}
	if !x.allowedBy(s) {
		return false
	}
	for _, t := range x.route.Targets {
		if t.Service == x.service {
			return true
		}
	}
	x.refuse("route moved to another service", 0)
	return false
}

// cameBack reports whether the caller has waited for so long already, at an earlier attempt, that its objective is
// missed: it waits for less than the route's timeout.
func (x *exchange) cameBack() bool {
	return x.caller.Wait > 0 && x.caller.Wait < x.route.Timeout-x.route.Objective
}

func (x *exchange) patience() time.Duration {
	wait := max(minPatience, x.route.Objective/patienceParts)
	return min(wait, time.Until(x.deadline))
}

// attempt sends the request to one upstream and passes its answer on.
func (x *exchange) attempt(ctx context.Context, c *placement.Choice) error {
	remaining := time.Until(x.deadline)
	if remaining < leastRemaining {
		return errTimedOut
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.sent++
	x.logChoice(c, remaining)
	slow := x.slowTimer(c, cancel)
	defer slow.Stop()
	answer, err := x.handler.options.Pool.Send(ctx, c.Upstream.Address, x.call(c, remaining))
	if errors.Is(err, channel.ErrNotSent) {
		c.Load.Failed()
		x.tried = append(x.tried, c.Upstream.Key())
		return err
	}
	x.runs++
	if err != nil {
		x.upstreamFailed(c)
		return x.brokenBy(ctx, err)
	}
	defer answer.Close()
	return x.take(ctx, c, answer, slow)
}

// slowTimer cancels an attempt whose answer takes too long, if the request may be repeated, and one that waits at
// an upstream whose version is due to be replaced.
func (x *exchange) slowTimer(c *placement.Choice, cancel context.CancelCauseFunc) *time.Timer {
	// What may not be repeated is ended by the deadline alone.
	limit := time.Until(x.deadline) + time.Second
	if x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts {
		limit = min(limit, max(minPatience, slowFactor*x.route.Objective))
	}
	if !c.StartBy.IsZero() {
		limit = min(limit, time.Until(c.StartBy))
	}
	return time.AfterFunc(limit, func() { cancel(errSlow) })
}

func (x *exchange) call(c *placement.Choice, remaining time.Duration) *channel.Call {
	a := hub.Attempt{Instance: c.Upstream.Id, Remaining: remaining, Priority: -1}
	if x.account != nil {
		a.Account = x.account.Name
	}
	if x.relay != nil {
		a.LastEvent, a.Priority = x.relay.lastId, firstPriority
	}
	return &channel.Call{
		Method:  x.r.Method,
		Target:  x.target(),
		Host:    x.r.Host,
		Header:  x.handler.options.Format.UpstreamHeader(x.r.Header, a),
		Body:    x.body,
		Foreign: x.foreign,
		Fresh:   !x.route.Repeatable(),
	}
}

// foreign reports whether an answer belongs to another request.
func (x *exchange) foreign(status int, h http.Header) bool {
	id := x.handler.options.Format.ReadVerdict(status, h).RequestId
	return id != "" && id != x.caller.RequestId
}

// take passes an answer on, or returns why another upstream should be asked.
func (x *exchange) take(ctx context.Context, c *placement.Choice, answer *channel.Answer, slow *time.Timer) error {
	verdict := x.handler.options.Format.ReadVerdict(answer.Status, answer.Header)
	if verdict.NotRun {
		x.runs--
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxAnswerBytes))
		c.Load.Refused()
		if verdict.WrongInstance {
			c.Load.Gone()
			x.tried = append(x.tried, c.Upstream.Key())
		}
		return fmt.Errorf("%w: status %d", errRefused, answer.Status)
	}
	success := answer.Status >= 200 && answer.Status < 300
	if success && !verdict.Signed {
		x.upstreamFailed(c)
		return fmt.Errorf("%w: success without a signature", errFailed)
	}
	if success && x.route.Kind == hub.Stream {
		return x.takeStream(ctx, c, answer, slow)
	}
	return x.takeWhole(ctx, c, answer, success)
}

// takeWhole reads the whole answer before any of it is passed on.
func (x *exchange) takeWhole(ctx context.Context, c *placement.Choice, answer *channel.Answer, success bool) error {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("%w: answer over %d bytes", channel.ErrBroken, maxAnswerBytes)
	}
	if err != nil {
		x.upstreamFailed(c)
		return x.brokenBy(ctx, err)
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if !success && x.relay != nil {
		x.upstreamFailed(c)
		return fmt.Errorf("%w: status %d to a stream that goes on", errFailed, answer.Status)
	}
	if answer.Status >= 500 {
		x.upstreamFailed(c)
		if x.route.Repeatable() {
			x.kept = whole
			return fmt.Errorf("%w: status %d", errFailed, answer.Status)
		}
	} else {
		c.Load.Succeeded()
	}
	x.pass(whole)
	return nil
}

// pass sends a whole answer to the caller.
func (x *exchange) pass(a *wholeAnswer) {
	x.handler.options.Format.CallerHeader(x.w.Header(), a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.finish("answered", a.status, "caller has left: "+err.Error())
		return
	}
	x.finish("answered", a.status, "")
}

// upstreamFailed counts a failure, unless the caller ended the attempt by leaving.
func (x *exchange) upstreamFailed(c *placement.Choice) {
	if x.r.Context().Err() != nil {
		return
	}
	c.Load.Failed()
	x.tried = append(x.tried, c.Upstream.Key())
}

// mayRepeat reports whether the request may be sent once more after an attempt that failed with err.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.sent >= maxSent || time.Until(x.deadline) < leastRemaining || errors.Is(err, errTimedOut) {
		return false
	}
	ran := !errors.Is(err, errRefused) && !errors.Is(err, channel.ErrNotSent)
	if ran && !x.route.Repeatable() || x.runs >= x.route.MaxAttempts {
		return false
	}
	return errors.Is(err, channel.ErrNotSent) || x.handler.options.Repeats.Take(x.service)
}

// giveUp answers a request that will not be sent any more.
func (x *exchange) giveUp(ctx context.Context, err error) {
	gone := x.r.Context().Err() != nil
	switch {
	case errors.Is(err, errDenied):
	case x.relay != nil:
		x.relay.abandon(err)
	case gone:
		x.finish("gone", 0, errGone.Error())
		panic(http.ErrAbortHandler)
	case x.kept != nil:
		x.pass(x.kept)
	case x.runs == 0:
		x.refuse(reasonOf(ctx, err), x.retryAfter(err))
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, reasonOf(ctx, err))
	default:
		x.fail(http.StatusBadGateway, reasonOf(ctx, err))
	}
}

// retryAfter returns when room is likely: soon where upstreams are full, late where none serves.
func (x *exchange) retryAfter(err error) time.Duration {
	if errors.Is(err, placement.ErrNoUpstream) {
		return part(max(busyRetry, time.Until(x.deadline)), emptyRetryPart)
	}
	return busyRetry
}

func part(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

func reasonOf(ctx context.Context, err error) string {
	if cause := context.Cause(ctx); cause != nil {
		return cause.Error()
	}
	return err.Error()
}

func (x *exchange) logChoice(c *placement.Choice, remaining time.Duration) {
	x.handler.options.Log.Info().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Str("Address", c.Upstream.Address).
		Int("Running", c.Running).Int("Candidates", c.Candidates).Uint64("Held", c.Held).
		Uint64("Upstreams", x.snapshot.UpstreamsRevision).Int("Sending", x.sent).Dur("Waited", time.Since(x.started)).Dur("Left", remaining).
		Msg("upstream chosen")
}

func (x *exchange) logFailure(c *placement.Choice, err error) {
	x.handler.options.Log.Warn().Str("RequestId", x.caller.RequestId).Str("Upstream", c.Upstream.Id).Int("Sending", x.sent).Err(err).Msg("attempt failed")
}
