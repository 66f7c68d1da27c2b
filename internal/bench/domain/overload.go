package domain

import (
	"context"
	"math"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/route/picker"
)

const (
	overloadFactor = 2
	overloadTime   = 15 * time.Second
	// largeShare is the share of the first account by the deployment's rules.
	largeShare = 3
)

// Overload is the result of offering twice the capacity.
type Overload struct {
	CapacityPerSecond float64
	GoodputPerSecond  float64
	// Goodput is the part of the capacity that was used for completions which were answered.
	Goodput float64
	// WorstShare is the largest deviation of an account from its share, as a part of the share.
	WorstShare    float64
	RefusedButRun int
	AnsweredP95Ms float64
	MaxOverLimit  int
	WrongAnswers  int64
	Requests      load.Counts
}

// RunOverload offers twice the capacity.
func RunOverload(ctx context.Context, o Options) (Overload, error) {
	o.Policy = picker.NameTwoChoices
	h, err := Start(ctx, o)
	if err != nil {
		return Overload{}, err
	}
	defer h.Stop()
	full := capacityPerSecond(&o.Deployment)
	// Every account asks for more than its share, the first for much more.
	weights := make([]float64, len(o.Deployment.Accounts))
	for i := range weights {
		weights[i] = 1
	}
	weights[0] = 2 * largeShare
	g := newLoad(h, &o, overloadFactor*full, weights)
	r := &run{options: o, harness: h, generator: g}
	warmUp(h, &o)
	g.Start()
	time.Sleep(warmTime)
	over, before := r.overLimit(), r.completions()
	phase := g.Enter("overload")
	time.Sleep(overloadTime)
	completed := r.completions() - before
	g.Enter("end")
	g.Stop()
	counts := phase.Counts()
	goodput := float64(completed) / overloadTime.Seconds()
	return Overload{
		CapacityPerSecond: full,
		GoodputPerSecond:  goodput,
		Goodput:           goodput / full,
		WorstShare:        worstShare(o.Deployment.Accounts, phase.AnsweredByAccount()),
		RefusedButRun:     r.refusedButRun(),
		AnsweredP95Ms:     millis(phase.Quantile(95)),
		MaxOverLimit:      r.overLimit() - over,
		WrongAnswers:      counts.Wrong + counts.Short,
		Requests:          counts,
	}, nil
}

// completions returns the completions that the engines have begun; in a steady state as many end.
func (r *run) completions() int {
	n := 0
	for _, vm := range r.harness.EngineVms() {
		n += vm.Engine.Observations().Answers
	}
	return n
}

// worstShare returns the largest deviation from the shares among accounts that all want more than theirs.
func worstShare(accounts []string, answered map[string]int64) float64 {
	total, shares := 0.0, 0.0
	share := func(i int) float64 {
		if i == 0 {
			return largeShare
		}
		return 1
	}
	for i, a := range accounts {
		total += float64(answered[a])
		shares += share(i)
	}
	worst := 0.0
	for i, a := range accounts {
		want := total * share(i) / shares
		worst = max(worst, math.Abs(float64(answered[a])-want)/want)
	}
	return worst
}

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
