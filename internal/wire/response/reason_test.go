package response_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// Guards against reasons for callers that quote a response, and against errors as long as what a server sends in its place.
func TestReasonsDoNotQuoteResponses(t *testing.T) {
	secret := strings.Repeat("s3cret", 1000)
	for _, answer := range []string{secret + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + secret + "\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + secret + "\r\n\r\n"} {
		_, err := post(t, answer, faulty.CloseAfter(0), 1)
		assert.ErrorIs(t, err, response.ErrUnreadable)
		assert.Assert(t, len(err.Error()) < 500, "%d bytes", len(err.Error()))
		assert.Equal(t, response.Reason(err), response.ErrUnreadable.Error())
	}
	malformed := response.Malformed(errors.New(secret))
	assert.ErrorIs(t, malformed, response.ErrMalformed)
	assert.Equal(t, response.Reason(fmt.Errorf("attempt: %w", malformed)), response.ErrMalformed.Error())
}

// Guards against the loss of the reason why a connection was lost.
func TestReasonsNameLostConnections(t *testing.T) {
	_, err := post(t, "HTTP/1.1 200", faulty.CloseAfter(0), 1)
	assert.Assert(t, err != nil && !errors.Is(err, response.ErrUnreadable), "%v", err)
	assert.Equal(t, response.Reason(err), err.Error())
}
