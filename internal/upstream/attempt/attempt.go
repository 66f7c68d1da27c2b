package attempt

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// States and events of an attempt, named as in the model of attempts.
const (
	StateRunning   = "running"
	StateAnswering = "answering"
	StateAnswered  = "answered"
	StateBroken    = "broken"

	EventHead  = "head"
	EventEnd   = "end"
	EventBreak = "break"
)

var transitions = fsm.Events{
	{Name: EventHead, Src: []string{StateRunning}, Dst: StateAnswering},
	{Name: EventEnd, Src: []string{StateAnswering}, Dst: StateAnswered},
	{Name: EventBreak, Src: []string{StateRunning, StateAnswering}, Dst: StateBroken},
}

const (
	// frameBytes bounds the data of one frame.
	frameBytes = 32 << 10
	// aliveInterval is the longest time between two frames of a stream.
	aliveInterval = 500 * time.Millisecond
	// maxAnswerBytes bounds the answer that is kept; a longer one is broken off.
	maxAnswerBytes = 64 << 20
	// unreadBytes is how far the upstream may be ahead of the slowest attached reader.
	unreadBytes = 1 << 20
)

// ErrTooLong reports an answer that is longer than may be kept.
var ErrTooLong = errors.New("answer is too long")

// Attempt is one execution of a request by the upstream, with its answer so far.
type Attempt struct {
	Id        string
	RequestId string
	// Root is the root digest of the weights that were admitted for the attempt, empty for services.
	Root string
	// Idempotent is true for a request that may be cancelled without harm.
	Idempotent bool

	cancel context.CancelCauseFunc

	mu       sync.Mutex
	machine  *fsm.FSM
	status   int
	headers  []*message.Header
	body     []byte
	reason   string
	finished time.Time
	detached time.Time
	readers  map[*reader]struct{}
	changed  chan struct{}
}

type reader struct {
	offset int
}

func newAttempt(id, requestID string, idempotent bool, cancel context.CancelCauseFunc) *Attempt {
	return &Attempt{
		Id:         id,
		RequestId:  requestID,
		Idempotent: idempotent,
		cancel:     cancel,
		machine:    fsm.NewFSM(StateRunning, transitions, nil),
		detached:   time.Now(),
		readers:    map[*reader]struct{}{},
		changed:    make(chan struct{}),
	}
}

// State returns the state of the attempt.
func (a *Attempt) State() string {
	return a.machine.Current()
}

// SetHead records the beginning of the answer.
func (a *Attempt) SetHead(status int, headers []*message.Header) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.event(EventHead); err != nil {
		return err
	}
	a.status = status
	a.headers = headers
	a.wake()
	return nil
}

// Append records a part of the body, and waits while all attached readers are far behind.
func (a *Attempt) Append(ctx context.Context, data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.body)+len(data) > maxAnswerBytes {
		return fmt.Errorf("%w: limit %d bytes", ErrTooLong, maxAnswerBytes)
	}
	a.body = append(a.body, data...)
	a.wake()
	for a.unread() > unreadBytes {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			a.mu.Lock()
			return context.Cause(ctx)
		case <-changed:
		}
		a.mu.Lock()
	}
	return nil
}

// unread returns the bytes that the furthest reader has not sent yet, 0 without readers.
func (a *Attempt) unread() int {
	best := -1
	for r := range a.readers {
		best = max(best, r.offset)
	}
	if best < 0 {
		return 0
	}
	return len(a.body) - best
}

// End marks the answer as whole.
func (a *Attempt) End() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.event(EventEnd); err != nil {
		return err
	}
	a.finished = time.Now()
	a.wake()
	return nil
}

// Break marks the answer as broken for a reason; a finished attempt stays as it is.
func (a *Attempt) Break(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.event(EventBreak) != nil {
		return
	}
	a.reason = reason
	a.finished = time.Now()
	a.wake()
}

func (a *Attempt) event(name string) error {
	if err := a.machine.Event(context.Background(), name); err != nil {
		return fmt.Errorf("attempt %s: %w", a.Id, err)
	}
	return nil
}

// Send streams the answer from offset, the head first unless headSeen, until it ends or send fails.
func (a *Attempt) Send(ctx context.Context, offset int, headSeen bool, send func(*message.AnswerFrame) error) error {
	r := &reader{offset: offset}
	a.attach(r)
	defer a.detach(r)
	for {
		frames, last, changed, err := a.next(r, headSeen)
		if err != nil {
			return err
		}
		for _, f := range frames {
			if err := send(f); err != nil {
				return err
			}
			headSeen = headSeen || f.GetKind() == message.FrameKind_FRAME_KIND_HEAD
		}
		if last {
			return nil
		}
		if len(frames) > 0 {
			continue
		}
		if err := a.waitOrBeAlive(ctx, changed, send); err != nil {
			return err
		}
	}
}

func (a *Attempt) waitOrBeAlive(ctx context.Context, changed <-chan struct{}, send func(*message.AnswerFrame) error) error {
	timer := time.NewTimer(aliveInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return nil
	case <-timer.C:
		return send(&message.AnswerFrame{AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_ALIVE})
	}
}

func (a *Attempt) attach(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers[r] = struct{}{}
}

func (a *Attempt) detach(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	a.detached = time.Now()
	a.wake()
}

// next returns the frames that can be sent now, and whether the last of them ends the stream.
func (a *Attempt) next(r *reader, headSeen bool) ([]*message.AnswerFrame, bool, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.offset > len(a.body) {
		return nil, false, nil, fmt.Errorf("offset %d in an answer of %d bytes", r.offset, len(a.body))
	}
	var frames []*message.AnswerFrame
	if !headSeen && a.status != 0 {
		frames = append(frames, &message.AnswerFrame{
			AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_HEAD, Status: int32(a.status), Headers: a.headers, Root: a.Root,
		})
	}
	if r.offset < len(a.body) {
		end := min(len(a.body), r.offset+frameBytes)
		frames = append(frames, &message.AnswerFrame{
			AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_BODY, Offset: uint64(r.offset), Data: a.body[r.offset:end],
		})
		r.offset = end
		a.wake()
		return frames, false, a.changed, nil
	}
	switch a.machine.Current() {
	case StateAnswered:
		end := &message.AnswerFrame{AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_END, Length: uint64(len(a.body))}
		return append(frames, end), true, nil, nil
	case StateBroken:
		end := &message.AnswerFrame{AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_BROKEN, Reason: a.reason}
		return append(frames, end), true, nil, nil
	}
	return frames, false, a.changed, nil
}

// expired reports whether a finished answer has been kept long enough.
func (a *Attempt) expired(now time.Time, keep time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.finished.IsZero() && len(a.readers) == 0 && now.Sub(a.finished) > keep
}

// abandoned reports whether nobody has read a running attempt for a while.
func (a *Attempt) abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finished.IsZero() && len(a.readers) == 0 && now.Sub(a.detached) > grace
}

func (a *Attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}
