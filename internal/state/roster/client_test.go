package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
)

// Guards against taking over a list of VMs from an answer whose head is malformed, and whose body may be another one.
func TestListInAMalformedAnswerIsNotRead(t *testing.T) {
	s, err := faulty.StartMalformed("", "[]")
	assert.NilError(t, err)
	defer s.Close()
	_, err = NewClient("http://" + s.Address).VMs(t.Context())
	assert.ErrorIs(t, err, hub.ErrUnavailable)
}
