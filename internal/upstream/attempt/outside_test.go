package attempt

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Guards against a head without end that fills the memory of the side process.
func TestHeadWithoutEndEndsTheAttempt(t *testing.T) {
	const enough = 9 << 20
	server, err := faulty.StartFlood("HTTP/1.1 200 OK\r\n", "A: "+strings.Repeat("b", 1000)+"\r\n")
	assert.NilError(t, err)
	defer server.Close()
	base, err := url.Parse("http://" + server.Address)
	assert.NilError(t, err)
	a := newAttempt("a", "r", true, func(error) {})
	NewRunner(base, false, func(int) {}).Run(t.Context(), a, &message.RunRequest{Method: http.MethodGet, Target: "/", Idempotent: true})
	assert.Equal(t, a.State(), StateBroken)
	written := <-server.Written
	assert.Assert(t, written < enough, "%d bytes", written)
}

// Guards against an offset from another process that is taken for a negative one and ends the process.
func TestOffsetBeyondTheResponseIsAnError(t *testing.T) {
	for _, offset := range []uint64{3, math.MaxInt64, math.MaxInt64 + 1, math.MaxUint64} {
		a := newAttempt("a", "r", true, func(error) {})
		assert.NilError(t, a.SetHead(200, nil))
		assert.NilError(t, a.Append(context.Background(), []byte("ab")))
		assert.NilError(t, a.End())
		assert.Assert(t, a.Send(t.Context(), offset, true, func(*message.AnswerFrame) error { return nil }) != nil)
	}
}

// Guards against bodies without end that fill the memory of the side process, and against finished responses that keep
// new ones from their memory.
func TestMemoryForResponsesIsLimited(t *testing.T) {
	l := NewLedger()
	block := make([]byte, 1<<20)
	fill := func(id string) int {
		a, err := l.Begin(id, "r", true, func(error) {})
		assert.NilError(t, err)
		assert.NilError(t, a.SetHead(200, nil))
		n := 0
		for a.Append(t.Context(), block) == nil {
			n += len(block)
		}
		return n
	}
	running := fill("a") + fill("b") + fill("c")
	assert.Assert(t, running <= maxBufferedBytes, "%d bytes", running)
	for _, id := range []string{"a", "b", "c"} {
		a, _ := l.FindOrReject(id)
		a.Break(ErrTooLong)
	}
	assert.Equal(t, fill("d"), maxResponseBytes)
	_, ran := l.FindOrReject("a")
	assert.Assert(t, ran)
}
