package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// Names of the promises.
const (
	RunsOnce         = "a request that must not run twice runs once at most"
	RefusalIsTrue    = "a refused request has not run"
	OwnResponse      = "a response is complete and belongs to its request"
	EndsAnswered     = "a request that was read ends with an answer or a refusal"
	EndsInTime       = "a request ends within its time limit"
	KeyInForce       = "added and withdrawn keys are in force in time"
	NeverOlder       = "a process never goes back to an older desired state"
	LeavingIsSpared  = "an upstream that leaves receives no new requests"
	DomainIsSpared   = "a failure domain out of service receives no new requests"
	NoOlderVersion   = "no request begins on an older version after its time"
	WithinRateLimit  = "an upstream gets no more requests than it names"
	WithinBudget     = "retries stay within the shared budget"
	StopCutsNothing  = "a planned stop cuts no request"
	Recovers         = "requests are served again after the last fault"
	LeftIsNotSent    = "a request is not sent on after its caller has left"
	WithinMemory     = "a process keeps to the memory in its settings"
	ProcessesSurvive = "no process ends by itself, and only whole weights are loaded"
)

// Bounds are the times and limits of the promises.
type Bounds struct {
	// Contact is the time without a disturbance after which a process must know what the store has.
	Contact time.Duration
	// Config, Revoke, Drain, Evacuate and Switch are the times within which added keys, withdrawn keys, leaving upstreams,
	// failure domains out of service and new versions are in force.
	Config   time.Duration
	Revoke   time.Duration
	Drain    time.Duration
	Evacuate time.Duration
	Switch   time.Duration
	// Rollback is the time after which a process that has shown a change must not show the state before.
	Rollback time.Duration
	// Late is the time by which a request may end after its limit, Unnoticed that within which a request that crosses a
	// close does not count as cut.
	Late      time.Duration
	Unnoticed time.Duration
	// Left is the time after which a process knows that a caller has left.
	Left time.Duration
	// RetryRatio and RetrySlack limit the retries to a service in each RetryWindow.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// LimitTolerance and LimitSlack limit the requests to an upstream in each LimitWindow, relative to the rate limit that it
	// has named for longer than Contact.
	LimitTolerance float64
	LimitSlack     int
	LimitWindow    time.Duration
	// Recovery is the time after the last fault after which RecoveredShare of the requests must be answered.
	Recovery       time.Duration
	RecoveredShare float64
}

// DefaultBounds are the bounds of the users' smaller deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Contact: 3 * time.Second, Config: 2 * time.Second, Revoke: 5 * time.Second, Drain: 2 * time.Second, Evacuate: 5 * time.Second,
		Switch: 8 * time.Second, Rollback: 250 * time.Millisecond, Late: 500 * time.Millisecond, Unnoticed: 200 * time.Millisecond,
		Left: 500 * time.Millisecond, RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second,
		LimitTolerance: 1.5, LimitSlack: 5, LimitWindow: 4 * time.Second, Recovery: 12 * time.Second, RecoveredShare: 0.9,
	}
}

// Violation is a promise that was not kept.
type Violation struct {
	Promise string
	At      time.Duration
	Text    string
}

// String returns the violation as a line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%7.2f s  %s: %s", v.At.Seconds(), v.Promise, v.Text)
}

// checker holds what is compared.
type checker struct {
	bounds Bounds
	*record.Seen
	requests map[string]*record.Request
	// arrived holds the IDs of the requests that reached an upstream.
	arrived    map[string]bool
	violations []Violation
}

// Check returns the violations of all promises, in the order of their times.
func Check(seen *record.Seen, b Bounds) []Violation {
	c := &checker{bounds: b, Seen: seen, requests: map[string]*record.Request{}, arrived: map[string]bool{}}
	slices.SortFunc(c.Requests, func(a, b record.Request) int { return int(a.Sent - b.Sent) })
	slices.SortFunc(c.Arrivals, func(a, b record.Arrival) int { return int(a.At - b.At) })
	for i := range c.Requests {
		c.requests[c.Requests[i].Id] = &c.Requests[i]
	}
	for i := range c.Arrivals {
		c.arrived[c.Arrivals[i].RequestId] = true
	}
	for _, f := range seen.Faults {
		c.add(ProcessesSurvive, 0, "%s", f)
	}
	c.checkRuns()
	c.checkResponses()
	c.checkEnds()
	c.checkKeys()
	c.checkOrderOfStates()
	c.checkArrivals()
	c.checkBudget()
	c.checkRateLimits()
	c.checkStops()
	c.checkMemory()
	c.checkRecovery()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.violations
}

func (c *checker) add(promise string, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: at, Text: fmt.Sprintf(format, args...)})
}

// disturbed reports whether a disturbance that match accepts overlaps the time from one moment to another.
func (c *checker) disturbed(from, to time.Duration, match func(record.Disturbance) bool) bool {
	return slices.ContainsFunc(c.Disturbances, func(d record.Disturbance) bool {
		return d.From <= to && d.To >= from && match(d)
	})
}

// touches returns a function that accepts the disturbances of a process, of its links and of the store.
func touches(process string) func(record.Disturbance) bool {
	own := []string{"", process, plan.CallersLink(process), plan.StoreLink(process), plan.ControlLink(process)}
	return func(d record.Disturbance) bool { return slices.Contains(own, d.Target) }
}

// inTouch reports whether neither a process nor the store was disturbed from Bounds.Contact before a moment to another.
func (c *checker) inTouch(process string, from, to time.Duration) bool {
	return !c.disturbed(from-c.bounds.Contact, to, touches(process))
}

func isLinkOrStore(d record.Disturbance) bool {
	return d.Target == "" || d.Target == plan.Origin || strings.Contains(d.Target, ":") || !isProcess(d.Target)
}

func isProcess(name string) bool {
	return strings.HasPrefix(name, "entry-") || strings.HasPrefix(name, "side-")
}
