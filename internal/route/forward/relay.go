package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/stream"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// stallTimeoutFactor times the route's MaxPause, but at least minStallTimeout, is the time without an event after
	// which a hedge of a stream is made.
	stallTimeoutFactor = 3
	minStallTimeout    = 700 * time.Millisecond
	// callerPatience is the time since the last event for which a stream that has lost its upstream waits for another one
	// with room. Callers abandon a stream after a pause of two seconds, or a longer one on slow routes.
	callerPatience = 2 * time.Second
	// resumeRetryDelay is the pause between two such waits. Each of them ends as that of a new request does, so that new
	// requests are served in between.
	resumeRetryDelay = 20 * time.Millisecond
	// maxEventsBeforeCrash is the number of events of a stream after which a lost connection is not attributed to
	// the request: an upstream that crashes under a request does so when it begins to answer it.
	maxEventsBeforeCrash = 1
)

// relay is the state of a response stream since its first event was forwarded.
type relay struct {
	exchange *exchange
	// sequence checks that the forwarded events follow each other.
	sequence *stream.Sequence
	events   int
	// firstAt is the time at which the first event was forwarded.
	firstAt time.Time
	// resumed is the number of times that the stream was resumed at another upstream.
	resumed int
	// lastAt is the time at which the last event was forwarded, longestPause the longest interval between two events.
	lastAt       time.Time
	longestPause time.Duration
}

// relayStream forwards the events of an upstream's response. It sends the header to the caller with the first event
// of the stream; when the stream is resumed, it continues the same response.
func (x *exchange) relayStream(ctx context.Context, c *placement.Choice, response *channel.Response, timer *attemptTimer) error {
	events := x.eventsOf(response)
	forwarded := 0
	var intervals intervalMeter
	// took leaves out the time in which the caller reads.
	took := time.Since(x.trace.SentAt)
	if x.relay != nil {
		x.relay.resumed++
	}
	for {
		waitedFrom := time.Now()
		e, err := events.Next()
		waited := time.Since(waitedFrom)
		took += waited
		if err == io.EOF && forwarded > 0 {
			c.Load.Succeeded()
			if !response.CloseDelimited || forwarded > maxEventsBeforeCrash {
				x.handler.options.Quarantine.Completed(&x.keys)
			}
			if !response.CloseDelimited {
				x.recordDuration(took)
			}
			x.endTimer(c, timer, nil)
			x.finish(outcomeAnswered, http.StatusOK, "")
			return nil
		}
		if err != nil {
			_ = x.flush()
			broken := x.brokenError(ctx, err)
			x.upstreamFailed(c)
			if forwarded <= maxEventsBeforeCrash {
				x.reportCrash(ctx, c, timer, err)
			}
			return broken
		}
		if !timer.stop() {
			x.upstreamFailed(c)
			return fmt.Errorf("%w: %w", channel.ErrBroken, errSlow)
		}
		c.ResponseStarted()
		if !e.Comment {
			c.ResponseArrived()
			if mean, ok := intervals.add(waited); ok {
				c.IntervalPassed(mean)
			}
		}
		if err := x.writeEvent(e, response); err != nil {
			if !errors.Is(err, errGone) {
				x.upstreamFailed(c)
			}
			return err
		}
		if !e.Comment {
			forwarded++
		}
		if !events.Buffered() {
			if err := x.flush(); err != nil {
				return fmt.Errorf("%w: %w", x.callerLost(), err)
			}
		}
		if limit, ok := x.stallTimeout(); ok {
			timer.start(limit, x.lastEvent())
		}
	}
}

// eventReader reads the events of a response, of which the first may have been awaited before.
type eventReader struct {
	*stream.Reader
	awaited *stream.Event
}

func newEventReader(response *channel.Response) *eventReader {
	return &eventReader{Reader: stream.NewReader(response)}
}

// await waits until Next can return the event that follows the one with the ID lastEvent, or returns the reason why it can't.
func (r *eventReader) await(lastEvent string) error {
	e, err := r.Reader.Next()
	for err == nil && e.Comment {
		e, err = r.Reader.Next()
	}
	if err == nil {
		err = stream.NewSequence(lastEvent).Add(e)
	}
	if err != nil {
		return fmt.Errorf("%w: no event: %w", channel.ErrBroken, err)
	}
	r.awaited = &e
	return nil
}

// Next returns the next event as stream.Reader does.
func (r *eventReader) Next() (stream.Event, error) {
	if e := r.awaited; e != nil {
		r.awaited = nil
		return *e, nil
	}
	return r.Reader.Next()
}

// eventsOf returns the events of a response, which are those of a hedge if it goes on with one.
func (x *exchange) eventsOf(response *channel.Response) *eventReader {
	if r := x.events; r != nil {
		x.events = nil
		return r
	}
	return newEventReader(response)
}

// isEventStream reports whether the media type in the header h of a response is that of a stream of events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// flush sends the buffered part of the response to the caller.
func (x *exchange) flush() error {
	if x.relay == nil {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// writeEvent writes an event to the caller. It returns channel.ErrBroken if events are missing or repeated according to
// their IDs, or errGone if the write fails.
func (x *exchange) writeEvent(e stream.Event, response *channel.Response) error {
	if x.relay == nil {
		x.handler.options.Format.CallerHeader(x.w.Header(), response.Header)
		x.writeHeader(response.Status)
		x.relay = &relay{exchange: x, firstAt: time.Now(), sequence: stream.NewSequence(x.caller.LastEvent)}
		x.begun.Store(true)
		x.handler.firstPart.Update(time.Since(x.started).Seconds())
	}
	if err := x.relay.sequence.Add(e); err != nil {
		return fmt.Errorf("%w: %w", channel.ErrBroken, err)
	}
	if _, err := x.w.Write(e.Data); err != nil {
		return fmt.Errorf("%w: %w", x.callerLost(), err)
	}
	now := time.Now()
	if !x.relay.lastAt.IsZero() {
		x.relay.longestPause = max(x.relay.longestPause, now.Sub(x.relay.lastAt))
	}
	x.relay.lastAt = now
	x.relay.events++
	return nil
}

// stallTimeout returns the time for which a stream that has begun may pause before a hedge is made, or false if it can't be
// continued at another upstream.
func (x *exchange) stallTimeout() (time.Duration, bool) {
	if !x.route.Retryable() || x.runs >= x.route.MaxAttempts || x.relay.sequence.Last() == "" {
		return 0, false
	}
	return max(minStallTimeout, stallTimeoutFactor*x.route.MaxPause), true
}

// keepsWaiting reports, after a pause, whether a request that has got no upstream because of err waits for one again. A new
// request is refused instead; the caller of a stream that has begun would lose what it has received.
func (x *exchange) keepsWaiting(ctx context.Context, err error) bool {
	if x.relay == nil {
		return false
	}
	left := callerPatience - time.Since(x.relay.lastAt)
	x.awaitsLoad = errors.Is(err, placement.ErrLoading)
	switch {
	case errors.Is(err, placement.ErrNoRoom), x.awaitsLoad:
	case errors.Is(err, placement.ErrPaused) && x.pauseLeft < left:
	default:
		return false
	}
	return left > 0 && hub.Sleep(ctx, resumeRetryDelay) == nil
}

// abort logs err and aborts the caller's connection, so that the caller recognizes the stream as incomplete.
func (r *relay) abort(err error) {
	x := r.exchange
	outcome := "cut"
	if x.callerLost() == errGone && (x.r.Context().Err() != nil || errors.Is(err, errGone)) {
		outcome = "gone"
	}
	x.finish(outcome, http.StatusOK, fmt.Sprintf("%v, after %d events, resumed %d times", err, r.events, r.resumed))
	panic(http.ErrAbortHandler)
}

// callerLost returns an error that wraps errGone for a connection to the caller that is lost. It wraps errStopping or
// listener.ErrDisplaced too if this process may have closed the connection at the end of a planned stop, or has done so to keep to its
// limits.
func (x *exchange) callerLost() error {
	switch {
	case x.isCut():
		return fmt.Errorf("%w: %w", errStopping, errGone)
	case listener.FromContext(x.r.Context()).Displaced():
		return fmt.Errorf("%w: %w", listener.ErrDisplaced, errGone)
	default:
		return errGone
	}
}

// brokenError wraps channel.ErrBroken around the reason for which a response was not received completely: that of callerLost if
// the caller disconnected, else the cause of ctx if it is done, else err.
func (x *exchange) brokenError(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case x.r.Context().Err() != nil:
		err = x.callerLost()
	case cause != nil:
		err = cause
	}
	if errors.Is(err, channel.ErrBroken) {
		return err
	}
	return fmt.Errorf("%w: %w", channel.ErrBroken, err)
}
