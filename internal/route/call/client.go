package call

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Outcome is the outcome of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered means that the complete response was passed to the sink.
	Answered Outcome = iota
	// NotRun means that the attempt has not run and never will.
	NotRun
	// Unknown means that the attempt may have run and no part of a response was passed to the sink.
	Unknown
	// Cut means that a part of the response was passed to the sink and the rest is lost.
	Cut
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "cut"}[o]
}

const (
	// silenceTimeout is the maximum interval between two frames, after which the connection is closed. The first
	// frame may take one second longer.
	silenceTimeout = 1500 * time.Millisecond
	// reattachTimeout is the time after the first connection has failed for which the client tries to resume the
	// response.
	reattachTimeout = 10 * time.Second
	// reattachInterval is the delay between two tries to resume the response.
	reattachInterval = 100 * time.Millisecond
)

var (
	errSilent          = errors.New("connection is silent")
	errWrongAttempt    = errors.New("frame belongs to another attempt")
	errOffsetGap       = errors.New("answer has a gap")
	errUnexpectedFrame = errors.New("frame was not expected")
)

// Sink receives the response of an upstream.
type Sink interface {
	// Head receives the status and the headers, once. root is the root digest of the weights that the engine
	// served, empty if not given.
	Head(status int, headers []*message.Header, root string) error
	// Body receives the next part of the body.
	Body(data []byte) error
}

// Result is the outcome of an attempt and its cause.
type Result struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is the delay that a refusing side process recommends before a retry, 0 if none.
	RetryAfter time.Duration
	// Dialed is true if a connection to the side process was opened.
	Dialed bool
	// Limit and Running are the concurrency limit and the number of requests in progress that the side process
	// reported last, both 0 if it reported none.
	Limit   int
	Running int
	// TimeToHead is the time from the start of the attempt to the head of the response.
	TimeToHead time.Duration
	// Attaches is the number of tries to resume the response on a new connection.
	Attaches int
	// SinkErr is the error returned by the sink, if that ended the attempt.
	SinkErr error
}

// Client sends attempts to side processes.
type Client struct {
	link *link.Client
}

// NewClient returns a client.
func NewClient(l *link.Client) *Client {
	return &Client{link: l}
}

// Do sends one attempt and passes the response to sink. It never sends the attempt twice.
//
// If the connection breaks or no frame arrives within silenceTimeout, Do opens a new connection and requests the
// response by attempt ID from the offset at which it was interrupted. A side process that has not received the
// attempt bars its ID, so that the outcome NotRun stays true even if the first message arrives later.
func (c *Client) Do(ctx context.Context, address string, r *message.RunRequest, sink Sink) Result {
	x := &exchange{client: c, address: address, request: r, sink: sink, started: time.Now()}
	x.run(ctx)
	return x.result
}

// exchange is the state of one attempt.
type exchange struct {
	client  *Client
	address string
	request *message.RunRequest
	sink    Sink
	started time.Time

	headSeen bool
	// offset is the number of bytes of the body passed to the sink.
	offset uint64
	done   bool
	result Result
}

func (x *exchange) run(ctx context.Context) {
	err := x.sendAttempt(ctx)
	if x.done {
		return
	}
	if errors.Is(err, link.ErrDial) && !x.result.Dialed {
		x.finish(NotRun, err.Error())
		return
	}
	x.reattach(ctx, err)
}

// sendAttempt sends the attempt on a pooled connection and receives the response.
func (x *exchange) sendAttempt(ctx context.Context) error {
	conn := x.client.link.Pooled(ctx, x.address)
	defer conn.Close()
	return x.stream(ctx, func(ctx context.Context) (frameReceiver, error) {
		stream, err := message.NewDRPCAttemptsClient(conn).Run(ctx, x.request)
		return stream, err
	})
}

// reattach requests the rest of the response on new connections until the attempt is finished, reattachTimeout has
// passed or ctx is done. err is the error of the first connection.
func (x *exchange) reattach(ctx context.Context, err error) {
	deadline := time.Now().Add(reattachTimeout)
	for !x.done && ctx.Err() == nil && time.Now().Before(deadline) {
		var attachErr error
		x.result.Attaches++
		attachErr = x.attachOnce(ctx)
		if attachErr != nil {
			err = attachErr
		}
		if !x.done {
			_ = hub.Sleep(ctx, reattachInterval)
		}
	}
	if x.done {
		return
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	x.finishIncomplete(fmt.Sprintf("connection lost: %v", err))
}

func (x *exchange) attachOnce(ctx context.Context) error {
	conn, err := x.client.link.Fresh(ctx, x.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return x.stream(ctx, func(ctx context.Context) (frameReceiver, error) {
		request := &message.AttachRequest{
			AttemptId:   x.request.GetAttemptId(),
			Offset:      x.offset,
			HeadSeen:    x.headSeen,
			Incarnation: x.request.GetIncarnation(),
		}
		stream, err := message.NewDRPCAttemptsClient(conn).Attach(ctx, request)
		return stream, err
	})
}

type frameReceiver interface {
	Recv() (*message.AnswerFrame, error)
	Close() error
}

// stream receives frames until the attempt is finished, the connection breaks or no frame arrives in time.
func (x *exchange) stream(ctx context.Context, open func(context.Context) (frameReceiver, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silenceTimeout+time.Second, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := open(ctx)
	if err != nil {
		x.result.Dialed = x.result.Dialed || !errors.Is(err, link.ErrDial)
		return causeOf(ctx, err)
	}
	x.result.Dialed = true
	defer stream.Close()
	for !x.done {
		f, err := stream.Recv()
		if err != nil {
			return causeOf(ctx, err)
		}
		watchdog.Stop()
		if err := x.handleFrame(f); err != nil {
			return err
		}
		watchdog.Reset(silenceTimeout)
	}
	return nil
}

// handleFrame handles one frame. After an error, the frames of the connection can't be trusted.
func (x *exchange) handleFrame(f *message.AnswerFrame) error {
	if f.GetAttemptId() != x.request.GetAttemptId() {
		return fmt.Errorf("%w: %q", errWrongAttempt, f.GetAttemptId())
	}
	if f.GetLimit() > 0 {
		x.result.Limit = int(f.GetLimit())
		x.result.Running = int(f.GetRunning())
	}
	switch f.GetKind() {
	case message.FrameKind_FRAME_KIND_ACCEPTED, message.FrameKind_FRAME_KIND_ALIVE:
		return nil
	case message.FrameKind_FRAME_KIND_REFUSED:
		x.result.RetryAfter = time.Duration(f.GetRetryAfterMs()) * time.Millisecond
		x.finish(NotRun, f.GetReason())
		return nil
	case message.FrameKind_FRAME_KIND_HEAD:
		return x.handleHead(f)
	case message.FrameKind_FRAME_KIND_BODY:
		return x.handleBody(f)
	case message.FrameKind_FRAME_KIND_END:
		return x.handleEnd(f)
	case message.FrameKind_FRAME_KIND_BROKEN:
		x.finishIncomplete(f.GetReason())
		return nil
	default:
		return fmt.Errorf("%w: kind %d", errUnexpectedFrame, f.GetKind())
	}
}

func (x *exchange) handleHead(f *message.AnswerFrame) error {
	if x.headSeen {
		return nil
	}
	x.headSeen = true
	x.result.TimeToHead = time.Since(x.started)
	if err := x.sink.Head(int(f.GetStatus()), f.GetHeaders(), f.GetRoot()); err != nil {
		x.sinkFailed(err)
	}
	return nil
}

func (x *exchange) handleBody(f *message.AnswerFrame) error {
	if !x.headSeen || f.GetOffset() > x.offset {
		return fmt.Errorf("%w: have %d, got %d", errOffsetGap, x.offset, f.GetOffset())
	}
	repeated := x.offset - f.GetOffset()
	if repeated >= uint64(len(f.GetData())) {
		return nil
	}
	fresh := f.GetData()[repeated:]
	x.offset += uint64(len(fresh))
	if err := x.sink.Body(fresh); err != nil {
		x.sinkFailed(err)
	}
	return nil
}

func (x *exchange) handleEnd(f *message.AnswerFrame) error {
	if !x.headSeen || f.GetLength() != x.offset {
		return fmt.Errorf("%w: have %d of %d bytes", errOffsetGap, x.offset, f.GetLength())
	}
	x.finish(Answered, "")
	return nil
}

// finishIncomplete finishes an attempt whose response is incomplete.
func (x *exchange) finishIncomplete(reason string) {
	if x.headSeen {
		x.finish(Cut, reason)
		return
	}
	x.finish(Unknown, reason)
}

// sinkFailed finishes the attempt after the sink has returned an error because the caller has disconnected.
func (x *exchange) sinkFailed(err error) {
	x.result.SinkErr = err
	x.finish(Cut, "caller has left")
}

func (x *exchange) finish(o Outcome, reason string) {
	x.done = true
	x.result.Outcome = o
	x.result.Reason = reason
}

// Cancel asks the side process to cancel an attempt whose caller has disconnected.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	conn := c.link.Pooled(ctx, address)
	defer conn.Close()
	if _, err := message.NewDRPCAttemptsClient(conn).Cancel(ctx, &message.CancelRequest{AttemptId: attemptID}); err != nil {
		return fmt.Errorf("cancel attempt %s: %w", attemptID, err)
	}
	return nil
}

// causeOf returns the cause for which ctx was cancelled, or err if ctx is not done.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
