package directory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that was stopped for longer than others tell ages without being asked, and serves an older version for
// the whole bound from when it goes on.
func TestProcessThatHearsVeryLateIsToldTheAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen, stopped := withVersionFoundAtTheStart(t, 2), withVersionFoundAtTheStart(t, 2)
		seen.target(3, 3)
		time.Sleep(5 * switchBound)
		stopped.target(3, 3)
		ages := seen.directory.RecentAges()
		if stopped.directory.NeedsAges() {
			ages = seen.directory.Ages()
		}
		stopped.directory.LearnAges(ages, time.Now(), time.Now())
		stopped.directory.Rebuild()
		target := stopped.directory.Current().Service("engine").Target
		assert.Equal(t, target.Due(time.Now(), switchBound), uint64(3))
	})
}
