package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/stream"
)

const (
	// pauseFactor is how many times the longest pause in time an upstream may be silent between two events
	// before the stream goes on elsewhere.
	pauseFactor = 3
	minPause    = 700 * time.Millisecond
)

// relay is the part of a stream that the caller has been given.
type relay struct {
	exchange *exchange
	lastId   string
	events   int
	began    time.Time
	resumed  int
	// lastAt is when the last event was passed on, longestPause the longest time between two.
	lastAt       time.Time
	longestPause time.Duration
}

// takeStream passes the events of one upstream on, beginning the caller's answer with the first.
func (x *exchange) takeStream(ctx context.Context, c *placement.Choice, answer *channel.Answer, slow *time.Timer) error {
	events := stream.NewReader(answer)
	if x.relay != nil {
		x.relay.resumed++
	}
	for {
		e, err := events.Next()
		if err == io.EOF && x.relay != nil {
			c.Load.Succeeded()
			x.finish("answered", http.StatusOK, "")
			return nil
		}
		if err != nil {
			_ = x.flush()
			err = x.brokenBy(ctx, err)
			x.upstreamFailed(c)
			return err
		}
		slow.Stop()
		c.Begun()
		if err := x.passEvent(e, answer); err != nil {
			x.upstreamFailed(c)
			return err
		}
		if !events.Buffered() {
			if err := x.flush(); err != nil {
				return fmt.Errorf("%w: %w", errGone, err)
			}
		}
		slow.Reset(x.pauseLimit())
	}
}

// flush sends what was written to the caller.
func (x *exchange) flush() error {
	if x.relay == nil {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// passEvent writes one event to the caller.
func (x *exchange) passEvent(e stream.Event, answer *channel.Answer) error {
	if x.relay == nil {
		x.handler.options.Format.CallerHeader(x.w.Header(), answer.Header)
		x.w.WriteHeader(answer.Status)
		x.relay = &relay{exchange: x, began: time.Now(), lastId: x.caller.LastEvent}
		x.handler.first.Update(time.Since(x.started).Seconds())
	}
	if !follows(x.relay.lastId, e.Id) {
		return fmt.Errorf("%w: event %q after %q", channel.ErrBroken, e.Id, x.relay.lastId)
	}
	if _, err := x.w.Write(e.Data); err != nil {
		return fmt.Errorf("%w: %w", errGone, err)
	}
	now := time.Now()
	if !x.relay.lastAt.IsZero() {
		x.relay.longestPause = max(x.relay.longestPause, now.Sub(x.relay.lastAt))
	}
	x.relay.lastAt = now
	if e.Id != "" {
		x.relay.lastId = e.Id
	}
	x.relay.events++
	return nil
}

// follows reports whether an event may be passed on after the last one: IDs that are numbers count up by one.
func follows(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err == nil && now == before+1
}

// pauseLimit returns the longest silence of an upstream in mid-stream.
func (x *exchange) pauseLimit() time.Duration {
	left := time.Until(x.deadline)
	if !x.route.Retryable() || x.runs >= x.route.MaxAttempts || x.relay.lastId == "" {
		return left
	}
	return min(left, max(minPause, pauseFactor*x.route.MaxPause))
}

// abandon ends a stream that can't be finished so that the caller sees that it is not whole.
func (r *relay) abandon(err error) {
	x := r.exchange
	outcome := "cut"
	if x.r.Context().Err() != nil || errors.Is(err, errGone) {
		outcome = "gone"
	}
	x.finish(outcome, http.StatusOK, fmt.Sprintf("%v, after %d events, resumed %d times", err, r.events, r.resumed))
	panic(http.ErrAbortHandler)
}

// brokenBy returns why an answer broke: the reason for which we ended it where we did.
func (x *exchange) brokenBy(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case x.r.Context().Err() != nil:
		err = errGone
	case cause != nil:
		err = cause
	}
	if errors.Is(err, channel.ErrBroken) {
		return err
	}
	return fmt.Errorf("%w: %w", channel.ErrBroken, err)
}
