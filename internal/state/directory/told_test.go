package directory_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// exchanged has teller tell its recent ages to learner in a call that takes as long as the reply needs.
func exchanged(teller, learner *fixture, callTime time.Duration) {
	sent := time.Now()
	time.Sleep(callTime)
	learner.directory.LearnAges(teller.directory.RecentAges(), sent, time.Now())
	learner.directory.Rebuild()
}

// Guards against a process that restarts, learns an age in a slow call, takes the version for older by the time of the call and has
// all others take it for as old.
func TestSlowCallOfARestartedProcessMakesNoVersionOlderForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 1900 * time.Millisecond
		seen := withVersionFoundAtTheStart(t, 2)
		seen.target(3, 3)
		for range 3 {
			restarted := withVersionFoundAtTheStart(t, 3)
			exchanged(seen, restarted, callTime)
			exchanged(restarted, seen, 10*time.Millisecond)
		}
		seen.assertDue(3, switchBound-3*(callTime+10*time.Millisecond))
	})
}

// Guards against a process that has missed a version, learns its age in a slow call and has all others take it for older.
func TestSlowCallOfAProcessThatMissedAVersionMakesItNoOlderForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 1900 * time.Millisecond
		seen, missed := withVersionFoundAtTheStart(t, 2), withVersionFoundAtTheStart(t, 2)
		seen.target(3, 3)
		time.Sleep(time.Second)
		seen.target(4, 4)
		missed.target(4, 4)
		exchanged(seen, missed, callTime)
		exchanged(missed, seen, 10*time.Millisecond)
		seen.assertDue(3, switchBound-time.Second-callTime-10*time.Millisecond)
	})
}
