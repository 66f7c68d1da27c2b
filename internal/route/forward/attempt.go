package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// maxResponseBytes limits the body of a response that is not a stream.
const maxAnswerBytes = 32 << 20

// bufferedResponse is an upstream's response whose body has been read completely.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the chosen upstream and forwards the response to the caller. It returns nil if the
// exchange is finished, else the reason why the attempt failed.
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
		x.upstreamFailed(c)
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

// startTimer returns a timer that cancels the attempt if its response takes too long and the request may be retried,
// or if the upstream's version is due to be replaced before the first event of a stream or the end of another response.
func (x *exchange) slowTimer(c *placement.Choice, cancel context.CancelCauseFunc) *time.Timer {
	// Requests that must not be retried are limited by the deadline alone, which expires before this timer.
	limit := time.Until(x.deadline) + time.Second
	if x.route.Retryable() && x.runs+1 < x.route.MaxAttempts {
		limit = min(limit, max(minPatience, slowFactor*x.route.Objective))
	}
	if !c.StartBy.IsZero() {
		limit = min(limit, time.Until(c.StartBy))
	}
	return time.AfterFunc(limit, func() { cancel(errSlow) })
}

// call returns the call that sends the request to the chosen upstream. A resumed stream continues after the last event
// that was forwarded.
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
		Fresh:   !x.route.Retryable(),
	}
}

// mismatched reports whether a response carries the ID of another request.
func (x *exchange) foreign(status int, h http.Header) bool {
	id := x.handler.options.Format.ParseResponse(status, h).RequestId
	return id != "" && id != x.caller.RequestId
}

// handleResponse forwards a response to the caller, or returns the reason why it must not be forwarded.
func (x *exchange) take(ctx context.Context, c *placement.Choice, answer *channel.Answer, slow *time.Timer) error {
	verdict := x.handler.options.Format.ParseResponse(answer.Status, answer.Header)
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

// forwardBuffered reads the complete response before it forwards any of it. For a 5xx response to a retryable request
// it returns an error and stores the response in x.errorResponse.
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
		if x.route.Retryable() {
			x.kept = whole
			return fmt.Errorf("%w: status %d", errFailed, answer.Status)
		}
	} else {
		c.Load.Succeeded()
	}
	x.pass(whole)
	return nil
}

// writeResponse sends a buffered response to the caller.
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

// upstreamFailed records a failure of the upstream and excludes it from further attempts, unless the attempt ended
// because the caller disconnected.
func (x *exchange) upstreamFailed(c *placement.Choice) {
	if x.r.Context().Err() != nil {
		return
	}
	c.Load.Failed()
	x.tried = append(x.tried, c.Upstream.Key())
}
