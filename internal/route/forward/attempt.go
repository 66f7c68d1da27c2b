package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
)

// bufferedResponse is an upstream's response whose body has been read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the chosen upstream and forwards the response to the caller. It returns nil if the
// exchange is finished, else the reason why the attempt failed. It frees the slot at the upstream in any case, and sets x.hedge
// if a hedge takes its place.
func (x *exchange) attempt(ctx context.Context, c *placement.Choice) (err error) {
	defer c.Release()
	remaining := time.Until(x.deadline)
	if remaining < minRemaining {
		x.failed(c, errTimedOut)
		return errTimedOut
	}
	attemptCtx, cancel := x.attemptContext(ctx)
	defer cancel(nil)
	x.sent++
	x.trace = channel.Trace{}
	x.logChoice(c, remaining, x.sent)
	timer := x.startTimer(ctx, c, cancel, x.runs+1)
	defer func() {
		c.Release()
		x.endTimer(c, timer, err)
	}()
	response, err := x.handler.options.Pool.Send(attemptCtx, c.Upstream.Address, x.firstCall(c, remaining))
	if errors.Is(err, channel.ErrNotSent) {
		x.notSent(c, err)
		return err
	}
	x.countProbe()
	x.runs++
	x.decision = quarantine.Decision{}
	if err != nil {
		x.upstreamFailed(c)
		x.countReset(err)
		broken := x.brokenError(attemptCtx, err)
		x.reportCrash(attemptCtx, c, timer, err)
		return broken
	}
	defer response.Close()
	return x.handleResponse(attemptCtx, c, response, timer)
}

// startTimer starts a timer for an attempt, which cancel ends: if its response takes too long and a hedge has been accepted, or if
// the upstream's version is due to be replaced before the first event of a stream or the end of another response. ctx is the context
// of the exchange, runs the number of attempts that may have run, including this one.
func (x *exchange) startTimer(ctx context.Context, c *placement.Choice, cancel context.CancelCauseFunc, runs int) *attemptTimer {
	t := newAttemptTimer(ctx, cancel, x.newHedger(c, runs))
	t.limit(c)
	if x.route.Retryable() && runs < x.route.MaxAttempts {
		t.start(max(minWait, attemptTimeoutFactor*x.route.Objective), x.lastEvent())
	}
	return t
}

// endTimer ends the timer of an attempt at c that has ended with err, and takes over the hedge that goes on in its place. After an
// attempt without an error, further calls have no effect.
func (x *exchange) endTimer(c *placement.Choice, t *attemptTimer, err error) {
	if err != nil {
		x.failed(c, err)
	}
	x.hedge = t.finish(err != nil)
	x.addHedges(t.hedger)
}

// lastEvent returns the ID of the last event that was forwarded, empty if none was.
func (x *exchange) lastEvent() string {
	if x.relay == nil {
		return ""
	}
	return x.relay.sequence.Last()
}

// firstCall returns the call of an attempt that is no hedge. A resumed stream continues after the last event that was forwarded.
func (x *exchange) firstCall(c *placement.Choice, remaining time.Duration) *channel.Call {
	priority := upstreamPriority(x.requirements().Priority)
	call := x.call(c, hub.Attempt{Remaining: remaining, Priority: priority, LastEvent: x.lastEvent()}, &x.trace)
	call.NewConnection = x.needsNewConnection(c)
	return call
}

// call returns the call that sends the request to the chosen upstream. It completes a by the upstream and the account, and records
// in trace how it was sent.
func (x *exchange) call(c *placement.Choice, a hub.Attempt, trace *channel.Trace) *channel.Call {
	a.Instance = c.Upstream.Id
	if x.account != nil {
		a.Account = x.account.Name
	}
	return &channel.Call{
		Method:         x.r.Method,
		Target:         x.target(),
		Host:           x.r.Host,
		Header:         x.handler.options.Format.UpstreamHeader(x.r.Header, a),
		Body:           x.body,
		Mismatched:     func(status int, h http.Header) bool { return x.mismatched(status, h, trace) },
		OnHeader:       func(status int, h http.Header) { x.observe(c, status, h, trace) },
		Service:        x.service,
		MaxConnections: x.maxConnections(),
		Trace:          trace,
		Allowed:        c.MayStillStart,
	}
}

// upstreamPriority returns the priority at the upstream of a request with the given priority in the queue.
func upstreamPriority(p int) int {
	switch {
	case p == resumedPriority:
		return highestUpstreamPriority
	case p >= missedObjectivePriority:
		return lowestUpstreamPriority
	default:
		return min(highestUpstreamPriority+1+max(0, p), lowestUpstreamPriority-1)
	}
}

// needsNewConnection reports whether the attempt must not use a connection on which other requests have been sent. On a
// new one no other response can be taken for that to the request: not a second copy of the response to an earlier request
// or to an earlier attempt of the same one, which has the same ID, and not a response without an ID.
func (x *exchange) needsNewConnection(c *placement.Choice) bool {
	return !x.route.Retryable() || x.caller.RequestId == "" || slices.Contains(x.refusedBy, c.Upstream.Key())
}

// observe records what the header of a response says about the upstream. It applies to responses that belong to other
// requests too, since they come from the same run of the upstream.
func (x *exchange) observe(c *placement.Choice, status int, h http.Header, trace *channel.Trace) {
	info := x.handler.options.Format.ParseResponse(status, h)
	if info.Leaving {
		x.logLeaving(c)
		c.Load.Leaves()
	}
	if info.Pause > 0 {
		x.logPause(c, info.Pause)
		c.Load.Pause(info.Pause)
	}
	if x.tellsRateLimit(info, trace) && c.Load.SetRateLimit(info.RateLimit, trace.SentAt) {
		x.logRateLimit(c, info.RateLimit)
	}
}

// tellsRateLimit reports whether a response shows which rate limit the upstream names now. One of another instance does
// not. One without a limit does only if it belongs to this request, because others may be older than the limit.
func (x *exchange) tellsRateLimit(info hub.ResponseInfo, trace *channel.Trace) bool {
	return !info.WrongInstance && (info.RateLimit.Named || !x.belongsToOther(info, trace))
}

// mismatched reports whether a response belongs to another request.
func (x *exchange) mismatched(status int, h http.Header, trace *channel.Trace) bool {
	return x.belongsToOther(x.handler.options.Format.ParseResponse(status, h), trace)
}

// belongsToOther reports whether a response carries the ID of another request, or none on a connection on which other
// requests have been sent.
func (x *exchange) belongsToOther(info hub.ResponseInfo, trace *channel.Trace) bool {
	if info.RequestId == "" {
		return trace.Reused
	}
	return info.RequestId != x.caller.RequestId
}

// handleResponse forwards a response to the caller, or returns the reason why the attempt failed.
func (x *exchange) handleResponse(ctx context.Context, c *placement.Choice, response *channel.Response, timer *attemptTimer) error {
	info := x.handler.options.Format.ParseResponse(response.Status, response.Header)
	if info.NotRun {
		x.runs--
		discardRefusal(response)
		c.Load.Refused()
		x.refusedBy = append(x.refusedBy, c.Upstream.Key())
		if info.WrongInstance {
			c.Load.Misdirected()
			x.tried = append(x.tried, c.Upstream.Key())
			return fmt.Errorf("%w: status %d", errOtherVersion, response.Status)
		}
		return fmt.Errorf("%w: status %d", errRefused, response.Status)
	}
	success := response.Status >= 200 && response.Status < 300
	if success && !info.Signed {
		x.upstreamFailed(c)
		return fmt.Errorf("%w: success without a signature", errFailed)
	}
	if success && x.route.Kind == hub.Stream && isEventStream(response.Header) {
		return x.relayStream(ctx, c, response, timer)
	}
	return x.forwardBuffered(ctx, c, response, success, timer)
}

// forwardBuffered reads the complete response before it forwards any of it. For a 5xx response to a retryable request
// it returns an error and stores the response in x.errorResponse.
func (x *exchange) forwardBuffered(ctx context.Context, c *placement.Choice, response *channel.Response, success bool, timer *attemptTimer) error {
	timer.hold()
	body, err := x.readResponse(ctx, response)
	if err != nil {
		if !errors.Is(err, errNoResponseMemory) {
			x.upstreamFailed(c)
		}
		broken := x.brokenError(ctx, err)
		x.reportCrash(ctx, c, timer, err)
		return broken
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if x.relay != nil {
		x.upstreamFailed(c)
		return fmt.Errorf("%w: status %d and %.100q to a stream that goes on", errFailed, response.Status, response.Header.Get("Content-Type"))
	}
	if response.Status >= 500 {
		x.upstreamFailed(c)
		if x.route.Retryable() {
			x.keepError(buffered)
			return fmt.Errorf("%w: status %d", errFailed, response.Status)
		}
	} else {
		c.Load.Succeeded()
	}
	if success && !response.CloseDelimited {
		x.handler.options.Quarantine.Completed(&x.keys)
	}
	if success {
		c.ResponseCompleted()
		if !response.CloseDelimited {
			x.recordDuration(time.Since(x.trace.SentAt))
		}
	}
	// The upstream has finished. A caller that reads slowly must not keep its slot and connection from others, nor cause hedges.
	x.endTimer(c, timer, nil)
	response.Close()
	c.Release()
	x.writeResponse(buffered)
	return nil
}

// keepError stores a 5xx response in place of an earlier one, with the memory for its body.
func (x *exchange) keepError(b *bufferedResponse) {
	x.errorMemory.release()
	x.errorResponse, x.errorMemory, x.responseMemory = b, x.responseMemory, holding{}
}

// writeResponse sends a buffered response to the caller.
func (x *exchange) writeResponse(b *bufferedResponse) {
	x.handler.options.Format.CallerHeader(x.w.Header(), b.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	x.writeHeader(b.status)
	if _, err := x.w.Write(b.body); err != nil {
		x.finish(outcomeAnswered, b.status, x.callerLost().Error()+": "+err.Error())
		return
	}
	x.finish(outcomeAnswered, b.status, "")
}

// upstreamFailed records a failure of the upstream and excludes it from further attempts, unless the attempt ended
// because the caller disconnected.
func (x *exchange) upstreamFailed(c *placement.Choice) {
	if x.r.Context().Err() != nil {
		return
	}
	c.Load.Failed()
	x.tried = append(x.tried, c.Upstream.Key())
}
