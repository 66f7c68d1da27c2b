package dispatch

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// firstBodyBytes is the size of the first buffer for a body, which grows as the body arrives: a caller that announces a
	// large body and does not send it takes little.
	firstBodyBytes = 4 << 10
	// bodyFactor is the memory that is charged for each byte of the buffer: the body is copied into the message to a side
	// process.
	bodyFactor = 2
	// bodyMemoryTimeout is the time for which the receipt of a body waits for memory.
	bodyMemoryTimeout = 500 * time.Millisecond
	// noMemoryRetry is the time after which a caller that was refused for lack of memory may return.
	noMemoryRetry = time.Second
)

// errNoMemory means that there is no memory for a body.
var errNoMemory = errors.New("no memory for the body")

// body is the body of a request and the memory that is held for it.
type body struct {
	data   []byte
	conn   *listener.Conn
	budget *listener.Budget
	held   int64
}

// readBody reads the body of a request, for which it acquires memory from budget unless that is nil. The caller must release
// the body, also after an error.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, budget *listener.Budget) (*body, error) {
	b := &body{conn: listener.FromContext(r.Context()), budget: budget}
	if r.ContentLength == 0 {
		return b, nil
	}
	defer b.conn.Receive(r.ContentLength)()
	err := b.readFrom(r, http.MaxBytesReader(w, r.Body, maxBytes), maxBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return b, &requestError{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", maxBytes)}
	case errors.Is(err, errNoMemory):
		// Otherwise net/http would read up to 256 KiB more of the body.
		w.Header().Set("Connection", "close")
		return b, &requestError{status: http.StatusServiceUnavailable, text: errNoMemory.Error(), retryAfter: noMemoryRetry}
	case err != nil:
		return b, badRequest("the body could not be read: %v", err)
	}
	return b, nil
}

// readFrom reads all of in, whose length is that of r if r states it.
func (b *body) readFrom(r *http.Request, in io.Reader, maxBytes int64) error {
	if r.ContentLength > maxBytes {
		return &http.MaxBytesError{Limit: maxBytes}
	}
	// One byte more than the body is needed to see its end.
	limit := maxBytes + 1
	if r.ContentLength > 0 {
		limit = r.ContentLength + 1
	}
	for {
		if len(b.data) == cap(b.data) && !b.grow(r, limit) {
			return errNoMemory
		}
		n, err := in.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer, or enlarges it to limit bytes if little would be missing. It returns false if there is no memory.
func (b *body) grow(r *http.Request, limit int64) bool {
	size := max(firstBodyBytes, 2*int64(cap(b.data)))
	if size+size/2 >= limit {
		size = limit
	}
	held := bodyFactor * size
	if b.budget != nil && !b.conn.Acquire(r.Context(), b.budget, listener.InTurn, held, bodyMemoryTimeout) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	b.release()
	if b.budget != nil {
		b.held = held
	}
	return true
}

// release releases the memory held for the body.
func (b *body) release() {
	if b.held > 0 {
		b.conn.Release(b.budget, b.held)
		b.held = 0
	}
}
