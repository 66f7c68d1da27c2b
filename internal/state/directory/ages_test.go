package directory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// withVersionFoundAtTheStart returns a directory that finds a target version of model m when it starts.
func withVersionFoundAtTheStart(t *testing.T, version uint64) *fixture {
	f := withTestDirectory(t)
	f.configure(1, 1)
	f.target(2, version)
	return f
}

// learn has another process tell the age of a version now, and rebuilds the snapshot.
func (f *fixture) learn(version uint64, age time.Duration, assumed bool) {
	f.directory.LearnAges([]hub.TargetAge{{Model: "m", Version: version, Age: age, Assumed: assumed}}, time.Now(), time.Now())
	f.directory.Rebuild()
}

// assertDue verifies that after d, and not before, all versions below the given one must be replaced.
func (f *fixture) assertDue(version uint64, d time.Duration) {
	f.t.Helper()
	target := f.directory.Current().Service("engine").Target
	assert.Assert(f.t, target.Due(time.Now().Add(d-time.Millisecond), switchBound) < version)
	assert.Equal(f.t, target.Due(time.Now().Add(d), switchBound), version)
}

// assertNeedsAgesFor verifies that ages are needed until d has passed, and no longer.
func (f *fixture) assertNeedsAgesFor(d time.Duration) {
	f.t.Helper()
	time.Sleep(d - time.Millisecond)
	assert.Assert(f.t, f.directory.NeedsAges())
	time.Sleep(time.Millisecond)
	assert.Assert(f.t, !f.directory.NeedsAges())
}

// Guards against a restarted process that takes a version for older than it is although others know its age.
func TestToldAgesReplaceAssumedOnesAndLesserTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		f.assertDue(2, switchBound-initialTargetAge)
		f.learn(2, time.Second, false)
		f.assertDue(2, switchBound-time.Second)
		f.learn(2, 2*time.Second, false)
		f.assertDue(2, switchBound-2*time.Second)
		f.learn(2, time.Second, false)
		f.assertDue(2, switchBound-2*time.Second)
		f.target(3, 3)
		f.learn(3, 3*time.Second, true)
		f.assertDue(3, switchBound)
		f.assertDue(2, switchBound-2*time.Second)
	})
}

// Guards against a process that heard of a version late and serves the older one for as much longer than the others.
func TestToldAgeReplacesTheLesserOneOfAProcessThatHeardLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		f.target(3, 3)
		f.learn(3, 3*time.Second, false)
		f.assertDue(3, switchBound-3*time.Second)
		f.learn(3, 2*time.Second, false)
		f.assertDue(3, switchBound-3*time.Second)
	})
}

// Guards against a process that misses a version and serves the one before it until the next one is due.
func TestVersionThatThisProcessMissedIsDueByItsToldAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		f.target(3, 4)
		f.learn(3, 5*time.Second, false)
		f.assertDue(3, switchBound-5*time.Second)
		f.assertDue(4, switchBound)
	})
}

// Guards against a told age that is lost because it arrives before the version.
func TestAgeToldBeforeItsVersionIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		f.learn(3, 2*time.Second, false)
		time.Sleep(time.Second)
		f.target(3, 3)
		f.assertDue(3, switchBound-3*time.Second)
	})
}

// Guards against ages that grow with each exchange by the time of its messages, until a version is due when it is named.
func TestAgesToldInCirclesDoNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 200 * time.Millisecond
		processes := []*fixture{withVersionFoundAtTheStart(t, 2), withVersionFoundAtTheStart(t, 2)}
		for _, f := range processes {
			f.target(3, 3)
		}
		for i := range 20 {
			teller, learner := processes[i%2], processes[(i+1)%2]
			sent := time.Now()
			time.Sleep(callTime)
			learner.directory.LearnAges(teller.directory.RecentAges(), sent, time.Now())
			learner.directory.Rebuild()
		}
		processes[0].assertDue(3, switchBound-20*callTime)
	})
}

// Guards against a version that is due too early everywhere because a slow message told its age to a process that had started.
func TestTimeOfAMessageIsNotPassedOnAsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		sent := time.Now()
		time.Sleep(time.Second)
		f.directory.LearnAges([]hub.TargetAge{{Model: "m", Version: 2, Age: 3 * time.Second}}, sent, time.Now())
		f.directory.Rebuild()
		f.assertDue(2, switchBound-4*time.Second)
		assert.DeepEqual(t, f.directory.RecentAges(), []hub.TargetAge{{Model: "m", Version: 2, Age: 3 * time.Second}})
	})
}

// Guards against a process whose clock stood still while its VM was suspended: the others must tell it for longer than the bound.
func TestAgesOfVersionsAreToldForSomeTimeAfterTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		f.target(3, 3)
		time.Sleep(2 * switchBound)
		assert.DeepEqual(t, f.directory.RecentAges(), []hub.TargetAge{{Model: "m", Version: 3, Age: 2 * switchBound}})
		time.Sleep(2 * switchBound)
		assert.Equal(t, len(f.directory.RecentAges()), 0)
	})
}

func TestToldAgeOlderThanTheAssumedOneReplacesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		f.learn(2, 7*time.Second, false)
		f.assertDue(2, switchBound-7*time.Second)
	})
}

func TestAgesAssumedByOthersReplaceNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		for _, age := range []time.Duration{time.Second, 7 * time.Second} {
			f.learn(2, age, true)
			f.assertDue(2, switchBound-initialTargetAge)
		}
		assert.Assert(t, f.directory.NeedsAges())
	})
}

func TestAgeToldBeforeTheFirstDirectivesIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestDirectory(t)
		f.configure(1, 1)
		f.learn(2, time.Second, false)
		time.Sleep(time.Second)
		f.target(2, 2)
		f.assertDue(2, switchBound-2*time.Second)
	})
}

func TestAgeToldAfterTheSnapshotWasBuiltIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.directory.Run(ctx) }()
		synctest.Wait()
		changed := f.directory.Changed()
		f.directory.LearnAges([]hub.TargetAge{{Model: "m", Version: 2, Age: time.Second}}, time.Now(), time.Now())
		<-changed
		f.assertDue(2, switchBound-time.Second)
		cancel()
		<-done
	})
}

// Guards against a restarted process that extends the deadline of an earlier version to that of the one which it finds.
func TestVersionBeforeTheOneFoundAtTheStartIsDueByItsToldAge(t *testing.T) {
	for _, assumed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := withVersionFoundAtTheStart(t, 3)
			f.learn(3, time.Second, false)
			f.learn(2, 6*time.Second, assumed)
			f.assertDue(2, switchBound-6*time.Second)
			f.assertDue(3, switchBound-time.Second)
			f.target(3, 5)
			if assumed {
				f.learn(4, 7*time.Second, true)
				f.assertDue(3, switchBound-time.Second)
			} else {
				f.learn(4, 500*time.Millisecond, false)
				f.assertDue(3, switchBound-time.Second)
				f.assertDue(4, switchBound-500*time.Millisecond)
			}
			f.assertDue(5, switchBound)
		})
	}
}

func TestToldAgesArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		assert.Equal(t, len(f.directory.Ages()), 0, "only an assumption is known")
		f.learn(2, time.Second, false)
		f.learn(1, 3*time.Second, true)
		time.Sleep(time.Second)
		f.target(3, 3)
		assert.DeepEqual(t, f.directory.Ages(), []hub.TargetAge{
			{Model: "m", Version: 3}, {Model: "m", Version: 2, Age: 2 * time.Second}, {Model: "m", Version: 1, Age: 4 * time.Second, Assumed: true},
		})
		time.Sleep(switchBound - 2*time.Second)
		assert.DeepEqual(t, f.directory.Ages(), []hub.TargetAge{
			{Model: "m", Version: 3, Age: 6 * time.Second}, {Model: "m", Version: 2, Age: switchBound},
		})
	})
}

func TestAgesAreNeededWhileTheyMatter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withVersionFoundAtTheStart(t, 2)
		assert.Assert(t, f.directory.NeedsAges())
		time.Sleep(switchBound)
		assert.Assert(t, !f.directory.NeedsAges())

		f = withVersionFoundAtTheStart(t, 2)
		f.learn(2, 0, false)
		f.assertNeedsAgesFor(switchBound)

		f = withTestDirectory(t)
		f.configure(1, 1)
		f.put(mirror.DocumentDirectives, 1, []listing.Entry{})
		assert.Assert(t, !f.directory.NeedsAges())
		f.target(2, 2)
		f.assertNeedsAgesFor(switchBound)
	})
}
