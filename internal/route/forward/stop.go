package forward

import (
	"context"
	"sync/atomic"
	"time"
)

// Stop is the planned stop of the process as far as requests are concerned. It is safe for concurrent use. The methods Cutoff and
// SinceBegun may be called on nil, as for a process that never stops.
type Stop struct {
	// begun is set once the stop has begun.
	begun    atomic.Pointer[stopTimes]
	refusing atomic.Bool
	// interrupted and cut are done once Interrupt and Cut have been called.
	interrupted context.Context
	interrupt   context.CancelFunc
	cut         context.Context
	cutStreams  context.CancelFunc
}

// stopTimes are the times of a planned stop. cutoff is zero if its time is not limited.
type stopTimes struct{ began, cutoff time.Time }

// NewStop returns a Stop that has not begun.
func NewStop() *Stop {
	s := &Stop{}
	s.interrupted, s.interrupt = context.WithCancel(context.Background())
	s.cut, s.cutStreams = context.WithCancel(context.Background())
	return s
}

// Begin marks the beginning of the stop. From now on requests are sent only if their responses are likely to end before cutoff, at
// which Cut will be called; a zero cutoff means no such time.
func (s *Stop) Begin(cutoff time.Time) { s.begun.Store(&stopTimes{time.Now(), cutoff}) }

// Refuse makes all requests be refused that have not been read completely.
func (s *Stop) Refuse() { s.refusing.Store(true) }

// Interrupt ends the requests in progress of whose responses no part has been sent. They are answered.
func (s *Stop) Interrupt() { s.interrupt() }

// Cut ends all requests in progress. Streams are cut.
func (s *Stop) Cut() {
	s.interrupt()
	s.cutStreams()
}

// Cutoff returns the time at which streams are cut, or false if the process does not stop or its time to stop is not limited.
func (s *Stop) Cutoff() (time.Time, bool) {
	if s == nil {
		return time.Time{}, false
	}
	t := s.begun.Load()
	if t == nil || t.cutoff.IsZero() {
		return time.Time{}, false
	}
	return t.cutoff, true
}

// SinceBegun returns the time since the stop has begun, or false if it has not.
func (s *Stop) SinceBegun() (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	if t := s.begun.Load(); t != nil {
		return time.Since(t.began), true
	}
	return 0, false
}

// whenInterrupted calls f in its own goroutine once the process ends the requests in progress. Calling stop prevents that, and
// returns false if it is too late.
func (x *exchange) whenInterrupted(f func()) (stop func() bool) {
	if s := x.handler.options.Stop; s != nil {
		return context.AfterFunc(s.interrupted, f)
	}
	return func() bool { return true }
}

// whenCut is whenInterrupted for requests whose responses have begun.
func (x *exchange) whenCut(f func()) (stop func() bool) {
	if s := x.handler.options.Stop; s != nil {
		return context.AfterFunc(s.cut, f)
	}
	return func() bool { return true }
}

// interrupted reports whether the process has ended the requests in progress.
func (x *exchange) interrupted() bool {
	s := x.handler.options.Stop
	return s != nil && s.interrupted.Err() != nil
}

// isCut reports whether the process has cut the streams in progress.
func (x *exchange) isCut() bool {
	s := x.handler.options.Stop
	return s != nil && s.cut.Err() != nil
}

// refuseIfStopping refuses the request if the process stops and sends no more requests. It returns whether it did. A body may
// take long, so this is checked before and after it is read.
func (x *exchange) refuseIfStopping() bool {
	s := x.handler.options.Stop
	if s == nil || !s.refusing.Load() {
		return false
	}
	x.refuse(errStopping.Error(), stoppingRetryAfter)
	return true
}

// interruptUnlessBegun ends the request because the process stops, unless its stream has begun: that would not be complete, and may
// still end before it is cut.
func (x *exchange) interruptUnlessBegun(interrupt context.CancelCauseFunc) {
	if !x.begun.Load() {
		interrupt(errStopping)
	}
}
