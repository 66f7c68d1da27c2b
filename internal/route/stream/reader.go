package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes limits the size of an event.
const maxEventBytes = 1 << 20

// ErrPartial means that a stream ended within an event.
var ErrPartial = errors.New("answer ended within an event")

// Event is a server-sent event.
type Event struct {
	// Data is the encoded event, including the blank line that ends it.
	Data []byte
	// Id is the event's ID, empty if it has none.
	Id string
}

// Reader reads the events of a stream.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next event, io.EOF after the last one, or ErrPartial if the stream ends within an event.
// An event of more than maxEventBytes is an error.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.lines.ReadSlice('\n')
		e.Data = append(e.Data, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.Data) < maxEventBytes {
			continue
		}
		if err == io.EOF && len(e.Data) > 0 {
			return e, ErrPartial
		}
		if err != nil {
			return e, err
		}
		if len(e.Data) > maxEventBytes {
			return e, fmt.Errorf("event over %d bytes", maxEventBytes)
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.Id = string(bytes.TrimSpace(id))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
	}
}

// Buffered reports whether the buffer holds data after the last event returned.
func (r *Reader) Buffered() bool { return r.lines.Buffered() > 0 }
