package check

import (
	"net/http"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// checkRuns checks how often requests have run.
func (c *checker) checkRuns() {
	runs := map[string]int{}
	for i := range c.Arrivals {
		if c.Arrivals[i].Ran {
			runs[c.Arrivals[i].RequestId]++
		}
	}
	for i := range c.Requests {
		q := &c.Requests[i]
		switch n := runs[q.Id]; {
		case !q.Once:
		case n > 1:
			c.add(RunsOnce, q.Sent, "%s ran %d times", q.Id, n)
		case n > 0 && q.Outcome == record.Refused:
			c.add(RefusalIsTrue, q.Ended, "%s was refused with status %d and has run", q.Id, q.Status)
		}
	}
}

// checkResponses checks what callers got, and when.
func (c *checker) checkResponses() {
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Outcome == record.Wrong || q.Outcome == record.Short {
			c.add(OwnResponse, q.Ended, "%s at %s: %s response with status %d: %q", q.Id, q.Process, q.Outcome, q.Status, q.Detail)
		}
		took := q.Ended - q.Sent
		if took > q.Limit+c.bounds.Late && c.inTouch(q.Process, q.Sent, q.Ended) {
			c.add(EndsInTime, q.Ended, "%s at %s: %s after %s, limit %s", q.Id, q.Process, q.Outcome, took, q.Limit)
		}
	}
}

// keyChange returns the change of a kind that concerns a key, nil if there is none.
func (c *checker) keyChange(kind record.Kind, key string) *record.Change {
	i := slices.IndexFunc(c.Changes, func(x record.Change) bool { return x.Kind == kind && x.Subject == key })
	if i < 0 {
		return nil
	}
	return &c.Changes[i]
}

// checkKeys checks that keys are accepted and rejected in time, by processes in touch.
func (c *checker) checkKeys() {
	for i := range c.Requests {
		q := &c.Requests[i]
		added, withdrawn := c.keyChange(record.KeyAdded, q.Key), c.keyChange(record.KeyWithdrawn, q.Key)
		if q.Status == http.StatusNotFound && c.mayLackRoute(q) {
			continue
		}
		switch {
		case withdrawn != nil && q.Outcome == record.Answered && q.Sent > withdrawn.At+c.bounds.Revoke && c.inTouch(q.Process, q.Sent, q.Sent):
			c.add(KeyInForce, q.Sent, "%s at %s was served with key %s, withdrawn %s before", q.Id, q.Process, q.Key, q.Sent-withdrawn.At)
		case q.Outcome != record.Denied || withdrawn != nil && q.Ended > withdrawn.At:
		case added == nil || q.Sent > added.At+c.bounds.Config && c.inTouch(q.Process, q.Sent, q.Ended):
			c.add(KeyInForce, q.Sent, "%s at %s was denied with status %d and key %s, which is in force", q.Id, q.Process, q.Status, q.Key)
		}
	}
}

// run identifies one run of a process.
type run struct {
	process string
	number  int
}

// checkOrderOfStates checks that no run of a process serves a withdrawn key after it has rejected it.
func (c *checker) checkOrderOfStates() {
	rejected := map[run]map[string]time.Duration{}
	for i := range c.Requests {
		q := &c.Requests[i]
		at := run{q.Process, q.Run}
		withdrawn := c.keyChange(record.KeyWithdrawn, q.Key)
		// A route that is missing tells nothing about the key.
		if withdrawn == nil || q.Ended < withdrawn.At || q.Status == http.StatusNotFound && c.mayLackRoute(q) {
			continue
		}
		since, known := rejected[at][q.Key]
		switch {
		case q.Outcome == record.Denied && (!known || q.Ended < since):
			if rejected[at] == nil {
				rejected[at] = map[string]time.Duration{}
			}
			rejected[at][q.Key] = q.Ended
		case q.Outcome == record.Answered && known && q.Sent > since+c.bounds.Rollback:
			c.add(NeverOlder, q.Sent, "%s at %s was served with key %s, rejected %s before", q.Id, q.Process, q.Key, q.Sent-since)
		}
	}
}

// checkArrivals checks to which upstreams processes in touch send requests.
func (c *checker) checkArrivals() {
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.RequestId]
		if q == nil {
			continue
		}
		if q.Outcome == record.Left && a.At > q.Ended+c.bounds.Left && c.inTouch(q.Process, q.Sent, a.At) {
			c.add(LeftIsNotSent, a.At, "%s reached %s from %s %s after its caller had left", a.RequestId, a.Upstream, q.Process, a.At-q.Ended)
		}
		for _, change := range c.Changes {
			c.checkArrival(a, q, change)
		}
	}
}

func (c *checker) checkArrival(a *record.Arrival, q *record.Request, change record.Change) {
	holds := func(bound time.Duration) bool {
		return q.Sent > change.At+bound && (change.Until == 0 || a.At < change.Until) && c.inTouch(q.Process, q.Sent, a.At)
	}
	switch change.Kind {
	case record.Leaving:
		if a.Upstream == change.Subject && holds(c.bounds.Drain) {
			c.add(LeavingIsSpared, a.At, "%s reached %s from %s %s after it had begun to leave", a.RequestId, a.Upstream, q.Process, q.Sent-change.At)
		}
	case record.OutOfService:
		if a.Domain == change.Subject && holds(c.bounds.Evacuate) {
			c.add(DomainIsSpared, a.At, "%s reached %s in %s from %s %s after that was taken out", a.RequestId, a.Upstream, a.Domain, q.Process, q.Sent-change.At)
		}
	case record.VersionNamed:
		if a.Ran && a.Version != 0 && a.Version < change.Version && holds(c.bounds.Switch) && !c.disturbed(change.At, a.At, isLinkOrStore) {
			c.add(NoOlderVersion, a.At, "%s ran at %s on version %d, %s after version %d was named", a.RequestId, a.Upstream, a.Version, q.Sent-change.At, change.Version)
		}
	}
}

// checkBudget checks the retries to each service in each window.
func (c *checker) checkBudget() {
	seen := map[string]bool{}
	retries := map[string][]time.Duration{}
	requests := map[string][]time.Duration{}
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		if seen[a.RequestId] {
			retries[a.Service] = append(retries[a.Service], a.At)
			continue
		}
		seen[a.RequestId] = true
		requests[a.Service] = append(requests[a.Service], a.At)
	}
	for service, times := range retries {
		for i, at := range times {
			from := at - c.bounds.RetryWindow
			in := i + 1 - firstAfter(times[:i+1], from)
			asked := firstAfter(requests[service], at) - firstAfter(requests[service], from)
			if float64(in) > c.bounds.RetryRatio*float64(asked)+float64(c.bounds.RetrySlack) {
				c.add(WithinBudget, at, "%d retries to %s for %d requests within %s", in, service, asked, c.bounds.RetryWindow)
				break
			}
		}
	}
}

// firstAfter returns the index of the first of sorted times that is after at.
func firstAfter(times []time.Duration, at time.Duration) int {
	i, _ := slices.BinarySearch(times, at+1)
	return i
}

// checkStops checks that no request is cut because its process was asked to stop, if nothing else was disturbed.
func (c *checker) checkStops() {
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Outcome != record.Cut || c.crossedClose(q) {
			continue
		}
		isStop := func(d record.Disturbance) bool { return d.Kind == string(plan.Stop) && d.Target == q.Process }
		isOther := func(d record.Disturbance) bool {
			return d.Kind != string(plan.Stop) && (touches(q.Process)(d) || isLinkOrStore(d))
		}
		if c.disturbed(q.Sent, q.Ended, isStop) && !c.disturbed(q.Sent-c.bounds.Contact, q.Ended, isOther) {
			c.add(StopCutsNothing, q.Ended, "%s at %s was cut after %s: %s", q.Id, q.Process, q.Ended-q.Sent, q.Detail)
		}
	}
}

// checkRecovery checks that requests of each class with keys in force are answered again after the last fault.
func (c *checker) checkRecovery() {
	var last time.Duration
	for _, d := range c.Disturbances {
		last = max(last, d.To)
	}
	for _, x := range c.Changes {
		if slices.Contains([]record.Kind{record.Hanging, record.HeldUp, record.ChangingRoutes}, x.Kind) {
			last = max(last, x.Until)
		}
	}
	from := last + c.bounds.Recovery
	asked, answered := map[string]int{}, map[string]int{}
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Sent < from || q.Outcome == record.Left || c.keyChange(record.KeyWithdrawn, q.Key) != nil {
			continue
		}
		asked[q.Class]++
		if q.Outcome == record.Answered {
			answered[q.Class]++
		}
	}
	for class, n := range asked {
		if float64(answered[class]) < c.bounds.RecoveredShare*float64(n) {
			c.add(Recovers, from, "%d of %d %s requests were answered", answered[class], n, class)
		}
	}
	if len(c.Requests) > 0 && len(asked) == 0 {
		c.add(Recovers, from, "no request was sent after the recovery time")
	}
}
