package attempt

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/oriolehub/oriolehub/internal/wire/message"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// States and events of an attempt, named as in the Promela model spec/attempts.pml.
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
	// maxFrameDataBytes limits the data of one frame.
	maxFrameDataBytes = 32 << 10
	// keepaliveInterval is the maximum time between two frames of a stream.
	keepaliveInterval = 500 * time.Millisecond
	// maxResponseBytes limits the buffered response; an attempt with a longer one fails.
	maxResponseBytes = 16 << 20
	// maxUnreadBytes limits how far the upstream may be ahead of the fastest attached reader.
	maxUnreadBytes = 1 << 20
)

// ErrTooLong means that a response exceeds maxResponseBytes.
var ErrTooLong = errors.New("answer is too long")

// Attempt is one execution of a request by the upstream, with the part of the response received so far.
type Attempt struct {
	Id        string
	RequestId string
	// Root is the root digest of the weights that must produce the response, empty for plain services.
	Root string
	// Idempotent is true for a request that may run more than once and may therefore be cancelled.
	Idempotent bool

	cancel context.CancelCauseFunc
	// reserve reserves memory for n more bytes of the body and returns false if there is none.
	reserve func(n int) bool

	mu      sync.Mutex
	machine *fsm.FSM
	status  int
	headers []*message.Header
	body    []byte
	// err is the error with which the attempt failed, nil if it has not.
	err error
	// finished is the time at which the attempt ended, zero while it is running.
	finished time.Time
	// detached is the time at which a reader last detached, initially the start of the attempt.
	detached time.Time
	readers  map[*reader]struct{}
	// changed is closed and replaced at each change of the attempt.
	changed chan struct{}
}

// reader is one stream on which the response is sent.
type reader struct {
	// offset is the number of body bytes sent so far.
	offset int
}

func newAttempt(id, requestID string, idempotent bool, cancel context.CancelCauseFunc) *Attempt {
	return &Attempt{
		Id:         id,
		RequestId:  requestID,
		Idempotent: idempotent,
		cancel:     cancel,
		reserve:    func(int) bool { return true },
		machine:    fsm.NewFSM(StateRunning, transitions, nil),
		detached:   time.Now(),
		readers:    map[*reader]struct{}{},
		changed:    make(chan struct{}),
	}
}

// State returns the current state, one of the State constants.
func (a *Attempt) State() string {
	return a.machine.Current()
}

// SetHead records the status and header of the response.
func (a *Attempt) SetHead(status int, headers []*message.Header) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.fire(EventHead); err != nil {
		return err
	}
	a.status = status
	a.headers = headers
	a.broadcast()
	return nil
}

// Append adds data to the body and blocks while every attached reader is more than maxUnreadBytes behind.
// It returns ErrTooLong, also if there is no memory for the data, or the cause of ctx if ctx is done first.
func (a *Attempt) Append(ctx context.Context, data []byte) error {
	if !a.reserve(len(data)) {
		return fmt.Errorf("%w: no memory for another %d bytes", ErrTooLong, len(data))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.body)+len(data) > maxResponseBytes {
		return fmt.Errorf("%w: limit %d bytes", ErrTooLong, maxResponseBytes)
	}
	a.body = append(a.body, data...)
	a.broadcast()
	for a.unread() > maxUnreadBytes {
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

// unread returns the number of body bytes that the most advanced reader has not sent yet, 0 if there is no reader.
func (a *Attempt) unread() int {
	furthest := -1
	for r := range a.readers {
		furthest = max(furthest, r.offset)
	}
	if furthest < 0 {
		return 0
	}
	return len(a.body) - furthest
}

// End marks the response as complete.
func (a *Attempt) End() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.fire(EventEnd); err != nil {
		return err
	}
	a.finished = time.Now()
	a.broadcast()
	return nil
}

// Err returns the error with which the attempt failed, nil if it has not.
func (a *Attempt) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// Break marks the response as failed with err. It has no effect on a finished attempt.
func (a *Attempt) Break(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fire(EventBreak) != nil {
		return
	}
	a.err = err
	a.finished = time.Now()
	a.broadcast()
}

func (a *Attempt) fire(name string) error {
	if err := a.machine.Event(context.Background(), name); err != nil {
		return fmt.Errorf("attempt %s: %w", a.Id, err)
	}
	return nil
}

// Send passes the response to send as frames, starting at the given offset of the body and preceded by the status and
// header unless headSeen is set. It returns when the response ends, ctx is done or send fails.
func (a *Attempt) Send(ctx context.Context, offset uint64, headSeen bool, send func(*message.AnswerFrame) error) error {
	if offset > maxResponseBytes {
		return fmt.Errorf("offset %d exceeds the limit of an answer, %d bytes", offset, maxResponseBytes)
	}
	r := &reader{offset: int(offset)}
	a.attach(r)
	defer a.detach(r)
	for {
		frames, last, changed, err := a.nextFrames(r, headSeen)
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
		if err := a.waitOrSendKeepalive(ctx, changed, send); err != nil {
			return err
		}
	}
}

// waitOrSendKeepalive waits for a change of the attempt and sends a keepalive frame after keepaliveInterval without one.
func (a *Attempt) waitOrSendKeepalive(ctx context.Context, changed <-chan struct{}, send func(*message.AnswerFrame) error) error {
	timer := time.NewTimer(keepaliveInterval)
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
	a.broadcast()
}

// nextFrames returns the frames that can be sent now, whether the last of them ends the stream, and otherwise a channel
// that is closed at the next change of the attempt.
func (a *Attempt) nextFrames(r *reader, headSeen bool) ([]*message.AnswerFrame, bool, <-chan struct{}, error) {
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
		end := min(len(a.body), r.offset+maxFrameDataBytes)
		frames = append(frames, &message.AnswerFrame{
			AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_BODY, Offset: uint64(r.offset), Data: a.body[r.offset:end],
		})
		r.offset = end
		a.broadcast()
		return frames, false, a.changed, nil
	}
	switch a.machine.Current() {
	case StateAnswered:
		end := &message.AnswerFrame{AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_END, Length: uint64(len(a.body))}
		return append(frames, end), true, nil, nil
	case StateBroken:
		end := &message.AnswerFrame{AttemptId: a.Id, Kind: message.FrameKind_FRAME_KIND_BROKEN, Reason: response.Reason(a.err)}
		return append(frames, end), true, nil, nil
	}
	return frames, false, a.changed, nil
}

// finishedUnread reports when the attempt finished, or false if it is running or has a reader.
func (a *Attempt) finishedUnread() (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finished, !a.finished.IsZero() && len(a.readers) == 0
}

// expired reports whether the attempt finished more than retention ago and has no reader.
func (a *Attempt) expired(now time.Time, retention time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.finished.IsZero() && len(a.readers) == 0 && now.Sub(a.finished) > retention
}

// abandoned reports whether a running attempt has had no reader for longer than grace.
func (a *Attempt) abandoned(now time.Time, grace time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finished.IsZero() && len(a.readers) == 0 && now.Sub(a.detached) > grace
}

// broadcast wakes all goroutines that wait for a change; a.mu must be held.
func (a *Attempt) broadcast() {
	close(a.changed)
	a.changed = make(chan struct{})
}
