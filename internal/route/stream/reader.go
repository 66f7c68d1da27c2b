package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes limits the size of an event, and of the blank lines before one.
const maxEventBytes = 256 << 10

// ErrPartial means that a stream ended within an event.
var ErrPartial = errors.New("answer ended within an event")

// Event is a server-sent event.
type Event struct {
	// Data is the encoded event, including the blank line that ends it.
	Data []byte
	// Id is the event's ID, empty if it has none.
	Id string
	// Comment is true if all lines are comments.
	Comment bool
}

// Reader reads the events of a stream.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next event, io.EOF after the last one, or ErrPartial if the stream ends within an event. Blank lines
// before an event are skipped. It is an error if an event or the blank lines before it exceed maxEventBytes.
func (r *Reader) Next() (Event, error) {
	e := Event{Comment: true}
	read := 0
	for {
		start := len(e.Data)
		err := r.appendLine(&e)
		read += len(e.Data) - start
		line := e.Data[start:]
		switch {
		case read > maxEventBytes:
			return e, fmt.Errorf("event over %d bytes", maxEventBytes)
		case err == io.EOF && len(e.Data) > 0:
			return e, ErrPartial
		case err != nil:
			return e, err
		}
		blank := len(bytes.TrimRight(line, "\r\n")) == 0
		if blank && start > 0 {
			return e, nil
		}
		if blank {
			e.Data = e.Data[:0]
			continue
		}
		e.Comment = e.Comment && line[0] == ':'
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.Id = string(bytes.TrimSpace(id))
		}
	}
}

// appendLine appends the next line to the data of e, up to maxEventBytes.
func (r *Reader) appendLine(e *Event) error {
	for {
		piece, err := r.lines.ReadSlice('\n')
		e.Data = append(e.Data, piece...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		if len(e.Data) > maxEventBytes {
			return nil
		}
	}
}

// Buffered reports whether the buffer holds data after the last event returned.
func (r *Reader) Buffered() bool { return r.lines.Buffered() > 0 }
