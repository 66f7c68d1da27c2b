package engine_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/upstream/engine"
)

// Guards against an engine in trouble that fills the memory of its side process with a head without end.
func TestHeadWithoutEndIsLimited(t *testing.T) {
	const enough = 9 << 20
	server, err := faulty.StartFlood("HTTP/1.1 200 OK\r\n", "A: "+strings.Repeat("b", 1000)+"\r\n")
	assert.NilError(t, err)
	defer server.Close()
	_, err = engine.New("http://" + server.Address).Status(t.Context())
	assert.ErrorIs(t, err, hub.ErrUnavailable)
	total := <-server.Written
	assert.Assert(t, total < enough, "%d bytes", total)
}

// Guards against believing the status in an answer whose head is malformed, and whose body may be another one.
func TestStatusInAMalformedAnswerIsNotRead(t *testing.T) {
	s, err := faulty.StartMalformed("", "{}")
	assert.NilError(t, err)
	defer s.Close()
	_, err = engine.New("http://" + s.Address).Status(t.Context())
	assert.ErrorIs(t, err, hub.ErrUnavailable)
}
