package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolehub/oriolehub/internal/route/duration"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// errTooShort means that less time remains than the response is likely to take.
var errTooShort = errors.New("too little time remains for a response")

// responseTimes are the times that responses take, and the numbers of requests for which too little time remained.
type responseTimes struct {
	*duration.Estimates
	refused         *metrics.Counter
	notRepeated     *metrics.Counter
	probesSent      *metrics.Counter
	probesCompleted *metrics.Counter
}

// newResponseTimes returns responseTimes without responses and registers its metrics in set.
func newResponseTimes(set *metrics.Set) responseTimes {
	counter := func(action string) *metrics.Counter {
		return set.NewCounter(`oriolehub_requests_short_of_time_total{action="` + action + `"}`)
	}
	return responseTimes{
		Estimates: duration.New(),
		refused:   counter("refused"), notRepeated: counter("not_repeated"), probesSent: counter("sent"), probesCompleted: counter("completed"),
	}
}

// acquireInTime is acquire for requests with enough time for a response, before and after the wait for an upstream. It
// returns errTooShort or errStopping for others.
func (x *exchange) acquireInTime(ctx context.Context) (placement.Choice, error) {
	if err := x.checkTime(); err != nil {
		return placement.Choice{}, err
	}
	choice, err := x.acquire(ctx)
	if err != nil {
		x.returnProbe()
		return choice, err
	}
	if err := x.checkTime(); err != nil {
		choice.Release()
		return choice, err
	}
	return choice, nil
}

// checkTime returns errTooShort or errStopping if a response is not likely to be complete in the time that the request or the process
// has left.
func (x *exchange) checkTime() error {
	if err := x.checkCutoff(); err != nil {
		x.returnProbe()
		return err
	}
	if !x.timeSuffices() {
		return x.shortOfTime()
	}
	return nil
}

// returnProbe lets another request be sent in place of this one, which is not sent, if that was a probe.
func (x *exchange) returnProbe() {
	if x.timeProbe {
		x.timeProbe = false
		x.handler.times.ProbeNotSent(x.service, x.route.Name)
	}
}

// countProbe counts a request as sent although too little time may remain.
func (x *exchange) countProbe() {
	if x.timeProbe {
		x.handler.times.probesSent.Inc()
	}
}

// timeSuffices reports whether the request may be sent in its remaining time. A stream that has begun is continued in any
// case, because its caller has a part of it. A probe of the quarantine is sent, because the next one is due only after
// another quarantine.
func (x *exchange) timeSuffices() bool {
	if x.begun.Load() || x.caller.LastEvent != "" || x.timeProbe || x.decision.Probe() {
		return true
	}
	times := &x.handler.times
	switch times.Decide(x.service, x.route.Name, time.Until(x.deadline)) {
	case duration.TooShort:
		return false
	case duration.Probe:
		x.timeProbe = true
	case duration.Enough:
	}
	return true
}

// shortOfTime counts the request, as refused if it has not run, and returns an error that wraps errTooShort.
func (x *exchange) shortOfTime() error {
	if x.runs > 0 {
		x.handler.times.notRepeated.Inc()
	} else {
		x.handler.times.refused.Inc()
	}
	least, _ := x.handler.times.Least(x.service, x.route.Name)
	left := time.Until(x.deadline)
	return fmt.Errorf("%w: %v left, three quarters of the responses take over %v", errTooShort, left.Round(time.Millisecond), least.Round(time.Millisecond))
}

// timeForAnother reports whether the request may be sent again in its remaining time, and logs if not.
func (x *exchange) timeForAnother() bool {
	err := x.checkCutoff()
	if err == nil && x.timeSuffices() {
		return true
	}
	if err == nil {
		err = errTooShort
	}
	x.handler.times.notRepeated.Inc()
	x.handler.options.Log.Info().Str("RequestId", x.caller.RequestId).Str("Route", x.route.Name).Dur("Left", time.Until(x.deadline)).
		Err(err).Msg("not sent again")
	return false
}

// mayMoveInTime reports whether enough time remains to send the request to another upstream beside the attempt in progress. It may
// be called from any goroutine.
func (x *exchange) mayMoveInTime() bool {
	if x.begun.Load() || x.caller.LastEvent != "" {
		return true
	}
	if x.checkCutoff() != nil {
		return false
	}
	least, known := x.handler.times.Least(x.service, x.route.Name)
	// The margin covers the time until the request is sent again.
	return !known || time.Until(x.deadline) >= least+minRemaining
}

// recordDuration records that a complete successful response took d since the request was sent. The rest of a response that was
// continued does not show how long whole ones take.
func (x *exchange) recordDuration(d time.Duration) {
	if x.caller.LastEvent != "" || x.relay != nil && x.relay.resumed > 0 {
		return
	}
	times := &x.handler.times
	times.Completed(x.service, x.route.Name, d)
	if x.timeProbe {
		times.ProbeCompleted(x.service, x.route.Name)
		times.probesCompleted.Inc()
	}
}
