package concurrency_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/concurrency"
)

// reportInterval is the interval between two reports of an upstream.
const reportInterval = 100 * time.Millisecond

// report delivers a report of the limiter under test and of the others, which are all busy.
func (f *fixture) report(r concurrency.Report) {
	for _, l := range f.others {
		l.Reported(concurrency.Report{InFlight: 8, Total: 8, Pace: 1})
	}
	f.limiter.Reported(r)
	time.Sleep(reportInterval)
}

// Guards against a limit of a process that sends a server too little to see that it is healthy.
func TestReportsOfNormalPaceRaiseTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 53)
		limits := []int{f.limiter.Limit()}
		for range 2 {
			f.report(concurrency.Report{InFlight: f.limiter.Limit(), Total: f.limiter.Limit(), Pace: 1})
			limits = append(limits, f.limiter.Limit())
		}
		assert.DeepEqual(t, limits, []int{3, 6, 12})
	})
}

// Guards against a server that gets too much although it reports that it is slow, because some of its responses are fast.
func TestReportedPaceCountsWhateverItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		f.report(concurrency.Report{InFlight: 8, Total: 8, Pace: 2.5})
		assert.Equal(t, f.limiter.Limit(), 5)
		f.round(1)
		assert.Equal(t, f.limiter.Limit(), 5)
		f.report(concurrency.Report{InFlight: 8, Total: 8, Pace: 1})
		assert.Equal(t, f.limiter.Limit(), testSlots)
	})
}

// Guards against a limit that a report keeps low after reports have stopped.
func TestReportedPaceEndsWithTheReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		f.report(concurrency.Report{InFlight: 8, Total: 8, Pace: 2.5})
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.limiter.Limit(), testSlots)
	})
}

// Guards against limits that shrink everywhere because all servers of a service report that they are slow.
func TestPaceOfAllUpstreamsIsNotSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		for range 10 {
			for _, l := range f.others {
				l.Reported(concurrency.Report{InFlight: 8, Total: 8, Pace: 2.5})
			}
			time.Sleep(reportInterval)
		}
		for _, l := range f.others {
			assert.Equal(t, l.Limit(), testSlots)
		}
	})
}

// Guards against a server that reports that it is well while it is slow or fails requests.
func TestFalseReportsDoNotRaiseTheLimit(t *testing.T) {
	for name, observe := range map[string]func(f *fixture){
		"slow":  func(f *fixture) { f.round(3) },
		"fails": func(f *fixture) { f.limiter.Failed(); f.limiter.Failed() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := withTestService(5, 1)
				f.round(1)
				f.round(1)
				for range 20 {
					observe(f)
					f.report(concurrency.Report{InFlight: 8, Total: 8, Pace: 1})
					assert.Assert(t, f.limiter.Limit() <= 6, f.limiter.Limit())
				}
			})
		})
	}
}

// Guards against a server that gets all of its slots at once after it has loaded weights or was silent. One that has
// answered while only its reports were lost is not new.
func TestRecoveredUpstreamStartsLow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestService(5, 1)
		f.round(1)
		f.round(1)
		f.report(concurrency.Report{Pace: 1, Silence: 2 * time.Second})
		assert.Equal(t, f.limiter.Limit(), testSlots, "answered a moment ago")
		time.Sleep(2 * time.Second)
		f.report(concurrency.Report{Pace: 1, Silence: 2 * time.Second})
		assert.Equal(t, f.limiter.Limit(), 3)
		f.round(1)
		f.round(1)
		assert.Equal(t, f.limiter.Limit(), testSlots)
		f.report(concurrency.Report{Pace: 1, Loaded: true})
		assert.Equal(t, f.limiter.Limit(), 3)
	})
}

// Guards against many entry processes that start at the same moment and all use the same room of a new server, before a
// report shows any of their requests; and against reports that arrive late, in which case they must not send more.
func TestManyProcessesShareTheRoomOfANewUpstream(t *testing.T) {
	const entries, rounds = 53, 200
	for name, delay := range map[string]time.Duration{"on time": reportInterval, "late": 2 * reportInterval} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var processes []*fixture
				for range entries {
					processes = append(processes, withTestService(0, entries))
				}
				sent := 0
				for range rounds {
					for _, f := range processes {
						f.limiter.Reported(concurrency.Report{Pace: 1, Waiting: testSlots})
						if f.limiter.Room(0, time.Now()) {
							f.limiter.Started(0, time.Now())
							sent++
						}
					}
					time.Sleep(delay)
				}
				mean := float64(sent) / rounds
				assert.Assert(t, mean >= 3 && mean <= 9, "%.1f requests between two reports to an upstream with a limit of 3", mean)
			})
		})
	}
}
