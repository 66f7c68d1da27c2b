package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// Guards against a metric that tells the age of an earlier version than the newest.
func TestNewestTargetIsTheOneNamedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.put(mirror.DocumentDirectives, 1, []listing.Entry{})
		_, ok := f.directory.Current().NewestTarget()
		assert.Assert(t, !ok)
		f.target(2, 2)
		time.Sleep(time.Second)
		f.target(3, 3)
		named, ok := f.directory.Current().NewestTarget()
		assert.Assert(t, ok)
		time.Sleep(time.Minute)
		assert.Equal(t, time.Since(named), time.Minute)
	})
}
