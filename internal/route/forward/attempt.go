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
// exchange is finished, else the reason why the attempt failed. It frees the slot at the upstream in any case, and sets
// x.reserved if the attempt was ended in favour of another one.
func (x *exchange) attempt(ctx context.Context, c *placement.Choice) error {
	defer c.Release()
	remaining := time.Until(x.deadline)
	if remaining < minRemaining {
		return errTimedOut
	}
	ctx, cancel := x.outlive(ctx)
	defer cancel(nil)
	x.sent++
	x.trace = channel.Trace{}
	x.logChoice(c, remaining)
	timer := x.startTimer(c, cancel)
	defer func() { x.reserved = timer.finish() }()
	response, err := x.handler.options.Pool.Send(ctx, c.Upstream.Address, x.call(c, remaining))
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
		broken := x.brokenError(ctx, err)
		x.reportCrash(ctx, c, err)
		return broken
	}
	defer response.Close()
	return x.handleResponse(ctx, c, response, timer)
}

// startTimer starts a timer that cancels the attempt if its response takes too long and another attempt is reserved, or if the upstream's version is due to be replaced before the first event of a stream or the end of another
// response.
func (x *exchange) startTimer(c *placement.Choice, cancel context.CancelCauseFunc) *attemptTimer {
	t := newAttemptTimer(func() { cancel(errSlow) }, x.reserver(c))
	t.limit(c.StartBy)
	if x.route.Retryable() && x.runs+1 < x.route.MaxAttempts {
		t.start(max(minWait, attemptTimeoutFactor*x.route.Objective))
	}
	return t
}

// call returns the call that sends the request to the chosen upstream. A resumed stream continues after the last event
// that was forwarded.
func (x *exchange) call(c *placement.Choice, remaining time.Duration) *channel.Call {
	a := hub.Attempt{Instance: c.Upstream.Id, Remaining: remaining, Priority: x.upstreamPriority()}
	if x.account != nil {
		a.Account = x.account.Name
	}
	if x.relay != nil {
		a.LastEvent = x.relay.sequence.Last()
	}
	return &channel.Call{
		Method:         x.r.Method,
		Target:         x.target(),
		Host:           x.r.Host,
		Header:         x.handler.options.Format.UpstreamHeader(x.r.Header, a),
		Body:           x.body,
		Mismatched:     x.mismatched,
		OnHeader:       func(status int, h http.Header) { x.observe(c, status, h) },
		NewConnection:  x.needsNewConnection(c),
		Service:        x.service,
		MaxConnections: x.maxConnections(),
		Trace:          &x.trace,
	}
}

// upstreamPriority returns the priority of the request at the upstream.
func (x *exchange) upstreamPriority() int {
	p := x.requirements().Priority
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
func (x *exchange) observe(c *placement.Choice, status int, h http.Header) {
	info := x.handler.options.Format.ParseResponse(status, h)
	if info.Leaving {
		x.logLeaving(c)
		c.Load.Leaves()
	}
	if info.Pause > 0 {
		x.logPause(c, info.Pause)
		c.Load.Pause(info.Pause)
	}
	if x.tellsRateLimit(info) && c.Load.SetRateLimit(info.RateLimit, x.trace.SentAt) {
		x.logRateLimit(c, info.RateLimit)
	}
}

// tellsRateLimit reports whether a response shows which rate limit the upstream names now. One of another instance does
// not. One without a limit does only if it belongs to this request, because others may be older than the limit.
func (x *exchange) tellsRateLimit(info hub.ResponseInfo) bool {
	return !info.WrongInstance && (info.RateLimit.Named || !x.belongsToOther(info))
}

// mismatched reports whether a response belongs to another request.
func (x *exchange) mismatched(status int, h http.Header) bool {
	return x.belongsToOther(x.handler.options.Format.ParseResponse(status, h))
}

// belongsToOther reports whether a response carries the ID of another request, or none on a connection on which other
// requests have been sent.
func (x *exchange) belongsToOther(info hub.ResponseInfo) bool {
	if info.RequestId == "" {
		return x.trace.Reused
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
	return x.forwardBuffered(ctx, c, response, success)
}

// forwardBuffered reads the complete response before it forwards any of it. For a 5xx response to a retryable request
// it returns an error and stores the response in x.errorResponse.
func (x *exchange) forwardBuffered(ctx context.Context, c *placement.Choice, response *channel.Response, success bool) error {
	body, err := x.readResponse(ctx, response)
	if err != nil {
		if !errors.Is(err, errNoResponseMemory) {
			x.upstreamFailed(c)
		}
		broken := x.brokenError(ctx, err)
		x.reportCrash(ctx, c, err)
		return broken
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if x.relay != nil {
		x.upstreamFailed(c)
		return fmt.Errorf("%w: status %d and %q to a stream that goes on", errFailed, response.Status, response.Header.Get("Content-Type"))
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
	// The upstream has finished. A caller that reads slowly must not keep its slot and connection from others.
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
		x.finish("answered", b.status, "caller has left: "+err.Error())
		return
	}
	x.finish("answered", b.status, "")
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
