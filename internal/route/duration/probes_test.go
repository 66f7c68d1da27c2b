package duration_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/duration"
)

// decide asks n times for a request with the remaining time and returns how often each decision was made. Each probe is
// completed if completed is true.
func decide(e *duration.Estimates, n int, remaining time.Duration, completed bool) map[duration.Decision]int {
	made := map[duration.Decision]int{}
	for range n {
		d := e.Decide("s", "r", remaining)
		made[d]++
		if d == duration.Probe && completed {
			e.ProbeCompleted("s", "r")
		}
	}
	return made
}

// Guards against refusals without an estimate and of requests with enough time.
func TestRequestsWithEnoughTimeAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		assert.Equal(t, decide(e, 100, 0, false)[duration.Enough], 100)
		complete(e, 19, time.Second, time.Millisecond)
		assert.Equal(t, decide(e, 100, 0, false)[duration.Enough], 100)
		complete(e, 1, time.Second, time.Millisecond)
		assert.Equal(t, decide(e, 100, 1100*time.Millisecond, false)[duration.Enough], 100)
	})
}

// Guards against requests that occupy slots although they cannot be completed in time, and against refusing all of them.
func TestOneInSixteenOfTheOthersIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 20, time.Second, time.Millisecond)
		made := decide(e, 1600, 500*time.Millisecond, false)
		assert.Equal(t, made[duration.Probe], 100)
		assert.Equal(t, made[duration.TooShort], 1500)
	})
}

// Guards against refusing callers that wait for a short time and ask for short responses while most ask for long ones:
// once a probe is completed, all go on being sent. When probes are no longer completed, refusals begin again.
func TestCompletedProbesLetFurtherRequestsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 20, time.Second, time.Millisecond)
		assert.Equal(t, decide(e, 1000, 500*time.Millisecond, true)[duration.Probe], 1000)
		made := decide(e, 1600, 500*time.Millisecond, false)
		assert.Assert(t, made[duration.Probe] <= 100+16, made)
	})
}

// Guards against requests that keep being sent because a few of them are completed: with one in ten, less than a quarter
// may be sent.
func TestRarelyCompletedProbesLetFewRequestsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 20, time.Second, time.Millisecond)
		sent := 0
		for range 16_000 {
			if e.Decide("s", "r", 500*time.Millisecond) != duration.Probe {
				continue
			}
			if sent++; sent%10 == 0 {
				e.ProbeCompleted("s", "r")
			}
		}
		assert.Assert(t, sent >= 1000 && sent < 4000, sent)
	})
}

// Guards against an estimate that holds back all requests after an overload has ended: the probes alone make it follow.
func TestProbesEndAnOverestimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := duration.New()
		complete(e, 1000, 4*time.Second, 10*time.Millisecond)
		refused := 0
		for range 3000 {
			time.Sleep(10 * time.Millisecond)
			switch e.Decide("s", "r", 2*time.Second) {
			case duration.TooShort:
				refused++
			case duration.Probe:
				e.ProbeCompleted("s", "r")
				e.Completed("s", "r", 200*time.Millisecond)
			case duration.Enough:
				e.Completed("s", "r", 200*time.Millisecond)
			}
		}
		near(t, least(t, e), 200*time.Millisecond)
		assert.Assert(t, refused < 300, refused)
	})
}
