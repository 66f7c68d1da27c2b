package domain

import (
	"context"
	"math"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/route/picker"
)

const (
	// overloadFactor is the ratio of the offered load to the capacity.
	overloadFactor = 2
	// overloadTime is the duration of the measured phase.
	overloadTime = 15 * time.Second
	// firstAccountShare is the share of the first client account in the deployment's rules; all others have 1.
	firstAccountShare = 3
)

// Overload holds the figures measured while twice the capacity is offered.
type Overload struct {
	// CapacityPerSecond and GoodputPerSecond are the possible and the actual number of completions per second.
	CapacityPerSecond float64
	GoodputPerSecond  float64
	// Goodput is the ratio of GoodputPerSecond to CapacityPerSecond.
	Goodput float64
	// WorstShare is the largest deviation of a client account from its share, relative to the share.
	WorstShare float64
	// RefusedButRun counts the requests that were rejected as not run but did run.
	RefusedButRun int
	// AnsweredP95Ms is the 95th percentile of the latency of answered requests.
	AnsweredP95Ms float64
	// MaxOverLimit counts the requests that reached an engine that was already at its capacity.
	MaxOverLimit int
	// WrongAnswers counts the responses that were truncated or belonged to another request.
	WrongAnswers int64
	Requests     load.Counts
}

// RunOverload measures the service while overloadFactor times the capacity is offered. It ignores the Policy and
// LoadPart of o.
func RunOverload(ctx context.Context, o Options) (Overload, error) {
	o.Policy = picker.NameTwoChoices
	h, err := Start(ctx, o)
	if err != nil {
		return Overload{}, err
	}
	defer h.Stop()
	fullRate := capacityPerSecond(&o.Deployment)
	// Every account requests more than its share, the first one most of all.
	weights := make([]float64, len(o.Deployment.Accounts))
	for i := range weights {
		weights[i] = 1
	}
	weights[0] = 2 * firstAccountShare
	g := newGenerator(h, &o, overloadFactor*fullRate, weights)
	r := &run{options: o, harness: h, generator: g}
	warmUp(h, &o)
	g.Start()
	time.Sleep(warmUpTime)
	overLimitBefore, completionsBefore := r.overLimit(), r.completions()
	phase := g.BeginPhase("overload")
	time.Sleep(overloadTime)
	completed := r.completions() - completionsBefore
	g.BeginPhase("end")
	g.Stop()
	counts := phase.Counts()
	goodput := float64(completed) / overloadTime.Seconds()
	return Overload{
		CapacityPerSecond: fullRate,
		GoodputPerSecond:  goodput,
		Goodput:           goodput / fullRate,
		WorstShare:        worstShare(o.Deployment.Accounts, phase.AnsweredByAccount()),
		RefusedButRun:     r.refusedButRun(),
		AnsweredP95Ms:     millis(phase.Quantile(95)),
		MaxOverLimit:      r.overLimit() - overLimitBefore,
		WrongAnswers:      counts.Wrong + counts.Short,
		Requests:          counts,
	}, nil
}

// completions returns the number of completions that the engines have begun; in a steady state, as many end.
func (r *run) completions() int {
	n := 0
	for _, vm := range r.harness.EngineVms() {
		n += vm.Engine.Observations().Answers
	}
	return n
}

// worstShare returns the largest relative deviation of an account's answered requests from its share. It requires that
// every account requests more than its share.
func worstShare(accounts []string, answered map[string]int64) float64 {
	total, shares := 0.0, 0.0
	share := func(i int) float64 {
		if i == 0 {
			return firstAccountShare
		}
		return 1
	}
	for i, a := range accounts {
		total += float64(answered[a])
		shares += share(i)
	}
	worst := 0.0
	for i, a := range accounts {
		expected := total * share(i) / shares
		worst = max(worst, math.Abs(float64(answered[a])-expected)/expected)
	}
	return worst
}

// refusedButRun returns the number of requests that were rejected as not run but did run.
func (r *run) refusedButRun() int {
	n := 0
	for _, id := range r.generator.Refused() {
		if r.harness.Runs.Of(id) > 0 {
			n++
			continue
		}
		for _, vm := range r.harness.EngineVms() {
			if vm.Engine.Runs(id) > 0 {
				n++
				break
			}
		}
	}
	return n
}
