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

// Outcome tells what became of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: the whole answer was passed on.
	Answered Outcome = iota
	// NotRun: the attempt did not run and never will.
	NotRun
	// Unknown: the attempt may have run, and no part of an answer was passed on.
	Unknown
	// Cut: a part of the answer was passed on and the rest is lost.
	Cut
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "not-run", "unknown", "cut"}[o]
}

const (
	// silenceTimeout is the longest time between two frames of a live connection.
	silenceTimeout = 1500 * time.Millisecond
	// attachLimit is the longest time for which an interrupted answer is looked for.
	attachLimit = 10 * time.Second
	// attachPause is the pause between two tries to attach.
	attachPause = 100 * time.Millisecond
)

var (
	errSilent   = errors.New("connection is silent")
	errCrossed  = errors.New("frame belongs to another attempt")
	errOffset   = errors.New("answer has a gap")
	errUnwanted = errors.New("frame was not expected")
)

// Sink receives an answer.
type Sink interface {
	// Head is given the status and the headers, once.
	Head(status int, headers []*message.Header, root string) error
	// Body is given the body in order.
	Body(data []byte) error
}

// Result is what became of an attempt and why.
type Result struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
	// Dialed is false where no connection could be opened.
	Dialed bool
	// Limit and Running are what the side process reported, both 0 when it did not.
	Limit   int
	Running int
	// First is the time to the head of the answer.
	First time.Duration
	// Attaches counts the connections on which the answer was taken up again.
	Attaches int
	// SinkErr is the error of the sink that ended the attempt.
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

// Do sends one attempt and passes its answer to sink; it never sends the attempt twice.
//
// When the connection breaks or stays silent, Do opens a new one and asks for the answer by attempt ID
// from where it stopped. A side process that has not seen the attempt strikes its ID, so that the
// outcome NotRun holds even if the first message is still on its way.
func (c *Client) Do(ctx context.Context, address string, r *message.RunRequest, sink Sink) Result {
	x := &exchange{client: c, address: address, request: r, sink: sink, started: time.Now()}
	x.run(ctx)
	return x.result
}

// exchange is the state of one attempt at the entry process.
type exchange struct {
	client  *Client
	address string
	request *message.RunRequest
	sink    Sink
	started time.Time

	headSeen bool
	offset   uint64
	done     bool
	result   Result
}

func (x *exchange) run(ctx context.Context) {
	err := x.first(ctx)
	if x.done {
		return
	}
	if errors.Is(err, link.ErrDial) && !x.result.Dialed {
		x.finish(NotRun, err.Error())
		return
	}
	x.reattach(ctx, err)
}

// first opens a connection and sends the attempt.
func (x *exchange) first(ctx context.Context) error {
	conn := x.client.link.Pooled(ctx, x.address)
	defer conn.Close()
	return x.stream(ctx, func(ctx context.Context) (receiver, error) {
		stream, err := message.NewDRPCAttemptsClient(conn).Run(ctx, x.request)
		return stream, err
	})
}

// reattach asks for the rest of the answer on new connections until it is there or time is up.
func (x *exchange) reattach(ctx context.Context, err error) {
	deadline := time.Now().Add(attachLimit)
	for !x.done && ctx.Err() == nil && time.Now().Before(deadline) {
		var attachErr error
		x.result.Attaches++
		attachErr = x.attachOnce(ctx)
		if attachErr != nil {
			err = attachErr
		}
		if !x.done {
			_ = hub.Sleep(ctx, attachPause)
		}
	}
	if x.done {
		return
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	x.lost(fmt.Sprintf("connection lost: %v", err))
}

func (x *exchange) attachOnce(ctx context.Context) error {
	conn, err := x.client.link.Fresh(ctx, x.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return x.stream(ctx, func(ctx context.Context) (receiver, error) {
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

type receiver interface {
	Recv() (*message.AnswerFrame, error)
	Close() error
}

// stream reads frames until the answer ends, the connection breaks or it stays silent.
func (x *exchange) stream(ctx context.Context, open func(context.Context) (receiver, error)) error {
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
		if err := x.take(f); err != nil {
			return err
		}
		watchdog.Reset(silenceTimeout)
	}
	return nil
}

// take handles one frame; an error means that the connection can't be trusted.
func (x *exchange) take(f *message.AnswerFrame) error {
	if f.GetAttemptId() != x.request.GetAttemptId() {
		return fmt.Errorf("%w: %q", errCrossed, f.GetAttemptId())
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
		return x.takeHead(f)
	case message.FrameKind_FRAME_KIND_BODY:
		return x.takeBody(f)
	case message.FrameKind_FRAME_KIND_END:
		return x.takeEnd(f)
	case message.FrameKind_FRAME_KIND_BROKEN:
		x.lost(f.GetReason())
		return nil
	default:
		return fmt.Errorf("%w: kind %d", errUnwanted, f.GetKind())
	}
}

func (x *exchange) takeHead(f *message.AnswerFrame) error {
	if x.headSeen {
		return nil
	}
	x.headSeen = true
	x.result.First = time.Since(x.started)
	if err := x.sink.Head(int(f.GetStatus()), f.GetHeaders(), f.GetRoot()); err != nil {
		x.sinkFailed(err)
	}
	return nil
}

func (x *exchange) takeBody(f *message.AnswerFrame) error {
	if !x.headSeen || f.GetOffset() > x.offset {
		return fmt.Errorf("%w: have %d, got %d", errOffset, x.offset, f.GetOffset())
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

func (x *exchange) takeEnd(f *message.AnswerFrame) error {
	if !x.headSeen || f.GetLength() != x.offset {
		return fmt.Errorf("%w: have %d of %d bytes", errOffset, x.offset, f.GetLength())
	}
	x.finish(Answered, "")
	return nil
}

// lost ends the attempt without a whole answer.
func (x *exchange) lost(reason string) {
	if x.headSeen {
		x.finish(Cut, reason)
		return
	}
	x.finish(Unknown, reason)
}

// sinkFailed ends the attempt since its caller has left.
func (x *exchange) sinkFailed(err error) {
	x.result.SinkErr = err
	x.finish(Cut, "caller has left")
}

func (x *exchange) finish(o Outcome, reason string) {
	x.done = true
	x.result.Outcome = o
	x.result.Reason = reason
}

// Cancel tells the side process that the caller of an attempt has left.
func (c *Client) Cancel(ctx context.Context, address, attemptID string) error {
	conn := c.link.Pooled(ctx, address)
	defer conn.Close()
	if _, err := message.NewDRPCAttemptsClient(conn).Cancel(ctx, &message.CancelRequest{AttemptId: attemptID}); err != nil {
		return fmt.Errorf("cancel attempt %s: %w", attemptID, err)
	}
	return nil
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
