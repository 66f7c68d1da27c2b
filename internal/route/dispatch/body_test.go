package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/call"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// bodyBudget returns the smallest memory that the settings allow for bodies of maxBytes.
func bodyBudget(t *testing.T, maxBytes int64) *listener.Budget {
	t.Helper()
	b, err := listener.NewBudget("bodies", maxBytes*7/2, nil)
	assert.NilError(t, err)
	return b
}

// Guards against bodies that are read wrongly or for which more memory is needed than the settings require, and against
// memory that is not returned.
func TestBodiesOfAllSizesFit(t *testing.T) {
	const maxBytes = 100_000
	budget := bodyBudget(t, maxBytes)
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 32 << 10, 64 << 10, 66_667, maxBytes} {
		for _, chunked := range []bool{false, true} {
			want := bytes.Repeat([]byte("b"), size)
			r := httptest.NewRequest(http.MethodPost, "/g/x", bytes.NewReader(want))
			if chunked {
				r.ContentLength = -1
			}
			b, err := readBody(httptest.NewRecorder(), r, maxBytes, budget)
			assert.NilError(t, err, "%d bytes, chunked: %v", size, chunked)
			assert.Assert(t, bytes.Equal(b.data, want))
			assert.Assert(t, budget.Used() <= bodyFactor*(maxBytes+1))
			b.release()
			assert.Equal(t, budget.Used(), int64(0))
		}
	}
}

// Guards against callers that take memory by the announcement of a large body.
func TestAnnouncedBodiesTakeLittle(t *testing.T) {
	const maxBytes = 1 << 20
	budget := bodyBudget(t, maxBytes)
	r := httptest.NewRequest(http.MethodPost, "/g/x", io.MultiReader(strings.NewReader("b"), errorReader{}))
	r.ContentLength = maxBytes
	b, err := readBody(httptest.NewRecorder(), r, maxBytes, budget)
	assert.ErrorContains(t, err, "could not be read")
	assert.Equal(t, budget.Used(), int64(bodyFactor*firstBodyBytes))
	b.release()
	r.ContentLength = maxBytes + 1
	_, err = readBody(httptest.NewRecorder(), r, maxBytes, budget)
	assert.ErrorContains(t, err, "larger than")
	assert.Equal(t, budget.Used(), int64(0))
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against requests that are run, or refused in a way that forbids to send them again, when bodies take all memory.
func TestRequestsWithoutMemoryAreRefusedAsNotRun(t *testing.T) {
	budget := bodyBudget(t, testMaxBody)
	assert.Assert(t, budget.TryAcquire(budget.Size()))
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/g/x", strings.NewReader("body"))
	_, err := parse(w, r, testMaxBody, budget)
	writeRequestError(w, "id", err)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(HeaderOutcome), call.NotRun.String())
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
	assert.Equal(t, budget.Used(), budget.Size())
}
