package forward

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// shortBodyBytes is the length up to which a body counts as short. Short ones have memory of their own, so that long ones
	// do not keep them out.
	shortBodyBytes = 64 << 10
	// requestMemoryTimeout is the time for which a request waits for memory for its body. responseMemoryTimeout is that for
	// a response, which exceeds the time after which callers that do not read are cut off to free memory. Without memory, a
	// response that an upstream has made is lost.
	requestMemoryTimeout  = 500 * time.Millisecond
	responseMemoryTimeout = 3 * time.Second
	// defaultBodyTimeout is Options.BodyTimeout if that is 0.
	defaultBodyTimeout = 10 * time.Second
)

// Memory is the memory in bytes for the bodies of all requests and responses together; 0 means a default.
type Memory struct {
	Requests       int64
	ShortRequests  int64
	Responses      int64
	ShortResponses int64
}

// defaultMemory is the memory for bodies if Options.Memory names none.
var defaultMemory = Memory{Requests: 64 << 20, ShortRequests: 16 << 20, Responses: 16 << 20, ShortResponses: 16 << 20}

// budgets are the memory for long and short bodies.
type budgets struct {
	requests, shortRequests   *listener.Budget
	responses, shortResponses *listener.Budget
}

func newBudgets(m Memory, set *metrics.Set) budgets {
	budget := func(name string, size, otherwise int64) *listener.Budget {
		b, err := listener.NewBudget(name, cmp.Or(size, otherwise), set)
		if err != nil {
			// A negative size is an error of the program: the settings are checked before.
			panic(err)
		}
		return b
	}
	return budgets{
		requests:       budget("requests", m.Requests, defaultMemory.Requests),
		shortRequests:  budget("short_requests", m.ShortRequests, defaultMemory.ShortRequests),
		responses:      budget("responses", m.Responses, defaultMemory.Responses),
		shortResponses: budget("short_responses", m.ShortResponses, defaultMemory.ShortResponses),
	}
}

// holding is the memory that is held for a body. While a body is copied to a larger buffer, it includes both.
type holding struct {
	conn  *listener.Conn
	parts []part
}

type part struct {
	budget *listener.Budget
	size   int64
}

// add adds size bytes that have been acquired from b.
func (h *holding) add(c *listener.Conn, b *listener.Budget, size int64) {
	h.conn = c
	h.parts = append(h.parts, part{b, size})
}

// keepLast releases all but what was added last.
func (h *holding) keepLast() {
	last := h.parts[len(h.parts)-1]
	h.parts = h.parts[:len(h.parts)-1]
	h.release()
	h.parts = append(h.parts, last)
}

// includes reports whether bytes of b are held.
func (h *holding) includes(b *listener.Budget) bool {
	return slices.ContainsFunc(h.parts, func(p part) bool { return p.budget == b })
}

// release releases everything.
func (h *holding) release() {
	for _, p := range h.parts {
		h.conn.Release(p.budget, p.size)
	}
	h.parts = h.parts[:0]
}

// holdRequest acquires memory for a body of n bytes. It waits no longer than until the process ends the requests in progress.
func (x *exchange) holdRequest(n int64) bool {
	ctx, cancel := context.WithCancel(x.r.Context())
	defer cancel()
	stop := x.whenInterrupted(cancel)
	defer stop()
	m := &x.handler.memory
	return x.hold(ctx, &x.requestMemory, m.shortRequests, m.requests, n, requestMemoryTimeout)
}

// holdResponse acquires memory for a response of n bytes. It waits no longer than until ctx, the context of the attempt, is done:
// the rest of the response can't be read after that.
func (x *exchange) holdResponse(ctx context.Context, n int64) bool {
	m := &x.handler.memory
	return x.hold(ctx, &x.responseMemory, m.shortResponses, m.responses, n, responseMemoryTimeout)
}

// hold acquires n bytes from short or long. It waits for up to wait while they are not free, until ctx is done.
func (x *exchange) hold(ctx context.Context, h *holding, short, long *listener.Budget, n int64, wait time.Duration) bool {
	b := long
	if n <= shortBodyBytes {
		b = short
	}
	conn := listener.FromContext(ctx)
	if !conn.Acquire(ctx, b, x.place(h, b), n, wait) {
		return false
	}
	h.add(conn, b, n)
	return true
}

// place returns the place of the request among those that wait for bytes of b. Requests sent ahead let all others go first, unless they
// already hold some of b, which others may wait for.
func (x *exchange) place(h *holding, b *listener.Budget) listener.Place {
	if x.sentAhead && !h.includes(b) {
		return listener.Behind
	}
	return listener.InTurn
}

// releaseMemory releases the memory for the bodies.
func (x *exchange) releaseMemory() {
	x.requestMemory.release()
	x.responseMemory.release()
	x.errorMemory.release()
}

// bodyReader reads the body of a request. Each part must come before the deadline of the request and within the time limit
// for a part.
type bodyReader struct {
	exchange *exchange
	control  *http.ResponseController
	body     io.Reader
}

// Read implements io.Reader. It fails with os.ErrDeadlineExceeded if the time is up or the process ends its requests.
func (b *bodyReader) Read(p []byte) (int, error) {
	o := &b.exchange.handler.options
	deadline := time.Now().Add(cmp.Or(o.BodyTimeout, defaultBodyTimeout))
	if b.exchange.deadline.Before(deadline) {
		deadline = b.exchange.deadline
	}
	if err := b.control.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	// The interruption sets a deadline too, which the one above may have replaced.
	if b.exchange.interrupted() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF && !time.Now().Before(deadline) {
		// The end of a body in chunks that is cut within its last line breaks is not reported as a deadline.
		err = fmt.Errorf("%w: %w", os.ErrDeadlineExceeded, err)
	}
	return n, err
}
