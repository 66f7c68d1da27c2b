package stream

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrOutOfSequence means that an event does not follow the ones before it.
var ErrOutOfSequence = errors.New("event is out of sequence")

// Sequence checks that the events of a stream follow each other, over all upstreams that continue it.
//
// Once an event has an ID, every further one needs an ID: the next number if IDs are numbers, else a different ID.
// Comments, which clients ignore, may stand anywhere. So neither an event that was lost or sent twice nor text that is no
// event of the stream is taken for its next event.
type Sequence struct {
	last string
}

// NewSequence returns the sequence of the events after the one with the ID last, which is empty for a new stream.
func NewSequence(last string) *Sequence { return &Sequence{last: last} }

// Last returns the ID after which the stream can be continued, or "" if its events have no IDs.
func (s *Sequence) Last() string { return s.last }

// Add adds the next event, or returns ErrOutOfSequence if e does not follow.
func (s *Sequence) Add(e Event) error {
	if e.Comment {
		return nil
	}
	if !follows(s.last, e.Id) {
		return fmt.Errorf("%w: %q after %q", ErrOutOfSequence, e.Id, s.last)
	}
	s.last = e.Id
	return nil
}

// follows reports whether an event with the given ID may come after the one with the ID last.
func follows(last, id string) bool {
	if last == "" {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return id != "" && id != last
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err == nil && now > before && now-1 == before
}
