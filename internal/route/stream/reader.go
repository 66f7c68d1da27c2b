package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// ErrPartial reports an answer that ended within an event.
var ErrPartial = errors.New("answer ended within an event")

// Event is one event with the blank line that ends it.
type Event struct {
	Data []byte
	// Id is the event's ID, empty where it has none.
	Id string
}

// Reader reads events.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next event; io.EOF after the last, ErrPartial where the answer ends within one.
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

// Buffered reports whether more of the answer has arrived already.
func (r *Reader) Buffered() bool { return r.lines.Buffered() > 0 }
