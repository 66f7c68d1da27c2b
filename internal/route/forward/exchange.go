package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
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
	caller   hub.RequestInfo
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
}

// run sends the request until it is answered or given up.
func (x *exchange) run() {
	x.service = pickTarget(x.route.Targets)
	x.handler.options.Repeats.CountRequest(x.service)
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

// mayRepeat reports whether the request may be sent once more after an attempt that failed with err.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.sent >= maxSent || time.Until(x.deadline) < leastRemaining || errors.Is(err, errTimedOut) {
		return false
	}
	ran := !errors.Is(err, errRefused) && !errors.Is(err, channel.ErrNotSent)
	if ran && !x.route.Retryable() || x.runs >= x.route.MaxAttempts {
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
