package hub_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

func combined(t *testing.T, era, revision uint64) uint64 {
	t.Helper()
	out, err := hub.StoreRevision(era, revision)
	assert.NilError(t, err)
	return out
}

// Guards against a revision of a restored store that counts as older than one which it had given out before.
func TestRevisionsOfALaterEraAreHigher(t *testing.T) {
	assert.Assert(t, combined(t, 2, 0) > combined(t, 1, 999_999_999_999))
	assert.Equal(t, hub.EraOf(combined(t, 3, 24)), uint64(3))
	assert.Equal(t, hub.RevisionInEra(combined(t, 3, 24)), uint64(24))
	assert.Equal(t, combined(t, 0, 24), uint64(24), "a store that names no era")
}

func TestRevisionsOutOfRangeAreRejected(t *testing.T) {
	for _, x := range [][2]uint64{{1, 1_000_000_000_000}, {1_000_001, 1}, {1 << 63, 1 << 63}} {
		_, err := hub.StoreRevision(x[0], x[1])
		assert.Assert(t, errors.Is(err, hub.ErrUnavailable), "%v: %v", x, err)
	}
}
