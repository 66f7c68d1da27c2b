package source_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/weights/source"
)

// Guards against reading a manifest from an answer whose head is malformed, and whose body may be another one.
func TestManifestInAMalformedAnswerIsNotRead(t *testing.T) {
	s, err := faulty.StartMalformed("", "{}")
	assert.NilError(t, err)
	defer s.Close()
	_, err = source.New("http://"+s.Address).Manifest(t.Context(), "v1")
	assert.ErrorIs(t, err, hub.ErrUnavailable)
}
