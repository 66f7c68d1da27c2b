package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// Guards against versions set in quick succession that postpone the time from which the first of them must be served.
func TestVersionsInQuickSuccessionAreDueByTheirOwnTimes(t *testing.T) {
	const bound, interval = 8 * time.Second, 800 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.put(mirror.DocumentDirectives, 1, []listing.Entry{})
		began := time.Now()
		for version := uint64(2); version <= 30; version++ {
			f.target(version+1, version)
			target := f.directory.Current().Service("engine").Target
			next, ok := target.After(1)
			assert.Assert(t, ok)
			assert.Equal(t, next, directory.Named{Version: 2, Since: began})
			due := uint64(0)
			if late := time.Since(began) - bound; late >= 0 {
				due = 2 + uint64(late/interval)
			}
			assert.Equal(t, target.Due(time.Now(), bound), due)
			time.Sleep(interval)
		}
	})
}

// Guards against a list of versions without bound, and against versions that may be served for longer because it has one.
func TestVeryManyVersionsAreNotDueLater(t *testing.T) {
	const bound, interval = 8 * time.Second, 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.put(mirror.DocumentDirectives, 1, []listing.Entry{})
		began := time.Now()
		for version := uint64(2); version <= 1000; version++ {
			f.target(version+1, version)
			target := f.directory.Current().Service("engine").Target
			assert.Equal(t, target.Version, version)
			assert.Assert(t, len(target.Named) <= 64, "%d", len(target.Named))
			if late := time.Since(began) - bound; late >= 0 {
				assert.Assert(t, target.Due(time.Now(), bound) >= 2+uint64(late/interval))
			}
			time.Sleep(interval)
		}
	})
}

// Guards against versions that are due too early because of ones set long ago.
func TestOldVersionsDoNotHastenNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		for version := uint64(1); version <= 200; version++ {
			time.Sleep(time.Hour)
			f.target(version+1, version)
		}
		time.Sleep(time.Second)
		f.target(1000, 201)
		named := f.directory.Current().Service("engine").Target.Named
		assert.Equal(t, named[len(named)-1], directory.Named{Version: 201, Since: time.Now()})
	})
}
