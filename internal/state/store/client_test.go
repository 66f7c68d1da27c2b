package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/state/store"
)

// Guards against taking over a value from an answer whose head is malformed, and whose body may be another one.
func TestValueInAMalformedAnswerIsNotRead(t *testing.T) {
	s, err := faulty.StartMalformed(store.HeaderRevision+": 7\r\n", "value")
	assert.NilError(t, err)
	defer s.Close()
	value, err := store.New("http://"+s.Address).Get(t.Context(), "key")
	assert.ErrorIs(t, err, hub.ErrUnavailable, "%q", value.Data)
}
