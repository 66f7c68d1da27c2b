package check

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
)

const second = time.Second

// request returns a request with a key in force that was answered in time.
func request(id string, sent time.Duration) record.Request {
	return record.Request{Id: id, Class: "lookup", Process: "entry-0", Key: "k", Limit: second, Sent: sent, Ended: sent + second/10, Status: 200, Outcome: record.Answered}
}

// sound returns a record in which all promises are kept.
func sound() *record.Seen {
	last := request("c", 40*second)
	last.Key = "kept"
	return &record.Seen{
		Requests: []record.Request{request("a", second), request("b", 11*second), last},
		Arrivals: []record.Arrival{{At: second, RequestId: "a", Upstream: "u", Domain: "d", Service: "s", Ran: true}},
		Changes:  []record.Change{{Kind: record.KeyAdded, Subject: "k"}, {Kind: record.KeyAdded, Subject: "kept"}},
	}
}

// A check that never fails proves nothing: each promise is broken once.
func TestBrokenPromisesAreFound(t *testing.T) {
	arrival := func(id string, at time.Duration) record.Arrival {
		return record.Arrival{At: at, RequestId: id, Upstream: "u", Domain: "d", Service: "s", Version: 1, Ran: true}
	}
	cases := []struct {
		promise   string
		breakWith func(s *record.Seen)
	}{
		{RunsOnce, func(s *record.Seen) {
			s.Requests[0].Once = true
			s.Arrivals = append(s.Arrivals, arrival("a", 2*second))
		}},
		{RefusalIsTrue, func(s *record.Seen) { s.Requests[0].Once, s.Requests[0].Outcome = true, record.Refused }},
		{OwnResponse, func(s *record.Seen) { s.Requests[0].Outcome = record.Wrong }},
		{OwnResponse, func(s *record.Seen) { s.Requests[0].Outcome = record.Short }},
		{EndsAnswered, func(s *record.Seen) { s.Requests[1].Outcome, s.Requests[1].Status = record.Failed, 502 }},
		{EndsAnswered, func(s *record.Seen) {
			s.Requests[1].Outcome, s.Requests[1].Ended = record.Cut, s.Requests[1].Sent+second/2
			s.Changes = append(s.Changes, record.Change{Kind: record.Hanging, Subject: "u", At: 10 * second, Until: 12 * second},
				record.Change{Kind: record.ChangingRoutes, At: 10 * second, Until: 12 * second},
				record.Change{Kind: record.RouteMissing, Subject: "r", At: 10 * second, Until: 12 * second})
		}},
		{EndsInTime, func(s *record.Seen) { s.Requests[0].Ended = s.Requests[0].Sent + 2*second }},
		{KeyInForce, func(s *record.Seen) {
			s.Changes = append(s.Changes, record.Change{Kind: record.KeyWithdrawn, Subject: "k", At: 5 * second})
		}},
		{KeyInForce, func(s *record.Seen) { s.Requests[1].Outcome = record.Denied }},
		{NeverOlder, func(s *record.Seen) {
			s.Changes = append(s.Changes, record.Change{Kind: record.KeyWithdrawn, Subject: "k", At: 9 * second})
			s.Requests[1].Outcome = record.Denied
			s.Requests = append(s.Requests, request("e", 13*second))
		}},
		{LeavingIsSpared, func(s *record.Seen) {
			s.Changes = append(s.Changes, record.Change{Kind: record.Leaving, Subject: "u", At: 5 * second})
			s.Arrivals = append(s.Arrivals, arrival("b", 11*second))
		}},
		{DomainIsSpared, func(s *record.Seen) {
			s.Changes = append(s.Changes, record.Change{Kind: record.OutOfService, Subject: "d", At: 5 * second})
			s.Arrivals = append(s.Arrivals, arrival("b", 11*second))
		}},
		{NoOlderVersion, func(s *record.Seen) {
			s.Changes = append(s.Changes, record.Change{Kind: record.VersionNamed, Version: 2, At: 2 * second})
			s.Arrivals = append(s.Arrivals, arrival("b", 11*second))
		}},
		{WithinBudget, func(s *record.Seen) {
			for range 22 {
				s.Arrivals = append(s.Arrivals, arrival("a", 2*second))
			}
		}},
		{WithinRateLimit, func(s *record.Seen) {
			s.Changes = append(s.Changes, record.Change{Kind: record.RateLimited, Subject: "u", PerSecond: 1, At: 5 * second})
			for range 12 {
				s.Arrivals = append(s.Arrivals, arrival("b", 11*second))
			}
		}},
		{StopCutsNothing, func(s *record.Seen) {
			s.Requests[1].Outcome, s.Requests[1].Ended = record.Cut, s.Requests[1].Sent+second/2
			s.Disturbances = append(s.Disturbances, record.Disturbance{Kind: string(plan.Stop), Target: "entry-0", From: 11 * second, To: 13 * second})
		}},
		{LeftIsNotSent, func(s *record.Seen) {
			s.Requests[1].Outcome = record.Left
			s.Arrivals = append(s.Arrivals, arrival("b", s.Requests[1].Ended+second))
		}},
		{Recovers, func(s *record.Seen) {
			s.Requests[2].Outcome, s.BrokenOff = record.Failed, map[string]bool{"c": true}
		}},
		{Recovers, func(s *record.Seen) {
			s.Disturbances = append(s.Disturbances, record.Disturbance{Kind: string(plan.Stop), Target: "entry-0", From: second, To: 39 * second})
		}},
		{WithinMemory, func(s *record.Seen) {
			s.MemoryLimit, s.Processes = 1<<20, []string{"entry-0"}
			s.Memory = []record.Memory{{At: 5 * second, Process: "entry-0", Run: 1, Bytes: 1<<20 + 1}}
		}},
		{WithinMemory, func(s *record.Seen) {
			s.MemoryLimit, s.Processes = 1<<20, []string{"entry-0", "side-0"}
			s.Memory = []record.Memory{{At: 5 * second, Process: "entry-0", Run: 1, Bytes: 1 << 20}}
		}},
		{ProcessesSurvive, func(s *record.Seen) { s.Faults = append(s.Faults, "entry-0 has ended: exit status 2") }},
	}
	assert.Equal(t, len(Check(sound(), DefaultBounds())), 0)
	for _, c := range cases {
		s := sound()
		c.breakWith(s)
		found := Check(s, DefaultBounds())
		assert.Assert(t, len(found) > 0, "not found: %s", c.promise)
		for _, v := range found {
			assert.Equal(t, v.Promise, c.promise, "%s", v)
		}
	}
}

// Callers outside the limits must not excuse what other callers see, and plans without a memory setting are not measured.
func TestCallersOutsideTheLimitsExcuseNothing(t *testing.T) {
	s := sound()
	s.Changes = append(s.Changes, record.Change{Kind: record.OutsideLimits, Subject: "entry-0", At: 10 * second, Until: 20 * second})
	s.Memory = []record.Memory{{Process: "entry-0", Run: 1, Bytes: 1 << 40}}
	assert.Equal(t, len(Check(s, DefaultBounds())), 0)
	s.Requests[1].Ended = s.Requests[1].Sent + 2*second
	assert.Equal(t, len(Check(s, DefaultBounds())), 1)
}

// Guards against a missing route that is taken for a withdrawn key, and against changes that excuse too much.
func TestMissingRoutesExcuseTheirRequestsOnly(t *testing.T) {
	for route, violations := range map[string]int{"r": 0, "other": 1} {
		s := sound()
		s.Requests[1].Outcome, s.Requests[1].Status, s.Requests[1].Route = record.Denied, 404, "r"
		s.Changes = append(s.Changes, record.Change{Kind: record.RouteMissing, Subject: route, At: 8 * second, Until: 9500 * time.Millisecond})
		assert.Equal(t, len(Check(s, DefaultBounds())), violations, route)
	}
}

// What ends a request without an answer and is not the program's must not be reported, nor anything else be excused.
func TestRequestsThatMayEndWithoutAnAnswer(t *testing.T) {
	cases := map[string]struct {
		excuse     func(s *record.Seen)
		violations int
	}{
		"nothing":             {func(*record.Seen) {}, 1},
		"upstream broke off":  {func(s *record.Seen) { s.BrokenOff = map[string]bool{"b": true} }, 0},
		"another broken off":  {func(s *record.Seen) { s.BrokenOff = map[string]bool{"a": true} }, 1},
		"time is up":          {func(s *record.Seen) { s.Requests[1].Ended = s.Requests[1].Sent + second }, 0},
		"crosses a close":     {func(s *record.Seen) { s.Requests[1].Ended = s.Requests[1].Sent + second/10 }, 0},
		"timeout":             {func(s *record.Seen) { addTimeout(s, "r", 10*second) }, 0},
		"timeout long before": {func(s *record.Seen) { addTimeout(s, "r", 8*second) }, 1},
		"timeout of another":  {func(s *record.Seen) { addTimeout(s, "other", 10*second) }, 1},
		"upstream disturbed":  {func(s *record.Seen) { addDisturbance(s, plan.EngineName(0)) }, 0},
		"process disturbed":   {func(s *record.Seen) { addDisturbance(s, plan.EntryName(0)) }, 0},
		"other disturbed":     {func(s *record.Seen) { addDisturbance(s, plan.EntryName(1)) }, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := sound()
			s.Requests[1].Outcome, s.Requests[1].Route, s.Requests[1].Ended = record.Cut, "r", s.Requests[1].Sent+second/2
			c.excuse(s)
			assert.Equal(t, len(Check(s, DefaultBounds())), c.violations)
		})
	}
}

// addTimeout adds a timeout of a route that is taken back half a second after at.
func addTimeout(s *record.Seen, route string, at time.Duration) {
	s.Changes = append(s.Changes, record.Change{Kind: record.RouteTimeout, Subject: route, Limit: second / 2, At: at, Until: at + second/2})
}

func addDisturbance(s *record.Seen, target string) {
	s.Disturbances = append(s.Disturbances, record.Disturbance{Kind: string(plan.Pause), Target: target, From: 10 * second, To: 11 * second})
}

// What a disturbance excuses must not be reported.
func TestDisturbancesExcuse(t *testing.T) {
	for _, target := range []string{"", "entry-0", plan.CallersLink("entry-0"), plan.StoreLink("entry-0")} {
		s := sound()
		s.Requests[1].Ended = s.Requests[1].Sent + 2*second
		s.Disturbances = []record.Disturbance{{Kind: string(plan.Pause), Target: target, From: 8 * second, To: 9 * second}}
		assert.Equal(t, len(Check(s, DefaultBounds())), 0, "%q", target)
		s.Disturbances[0].To = s.Disturbances[0].From - 2*second
		s.Disturbances[0].From = s.Disturbances[0].To
		assert.Equal(t, len(Check(s, DefaultBounds())), 1, "%q", target)
	}
}
