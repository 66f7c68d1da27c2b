package domain

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/harness"
	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/picker"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
)

const (
	capacity     = 8
	coldCapacity = 2
	warmRequests = 40
	answerTokens = 20
	tokenTime    = 10 * time.Millisecond
	// warmTime is the time of light load, and then of full load, before anything is counted.
	warmTime = 10 * time.Second
	// warmPart is the light load as a part of the capacity.
	warmPart   = 0.15
	phaseTime  = 10 * time.Second
	windowTime = time.Second
	// newWorkGrace is the time after which a failure domain that is out must receive no new work.
	newWorkGrace = 3 * time.Second
	startLimit   = 3 * time.Minute
	contentBytes = 256 << 10
	// unlimited stands for the absence of admission in baselines.
	unlimited = 1 << 20
	// steadyFactor is the latency, relative to the baseline, below which service counts as steady.
	steadyFactor = 1.3
)

// Options choose a measurement.
type Options struct {
	Deployment deployment.Deployment
	// Policy is a name that picker.Named takes; baselines run without slow start and admission.
	Policy string
	// LoadPart is the load as a part of the warm capacity.
	LoadPart float64
	Seed     uint64
	Journal  *journal.Journal
}

// Result is one line of the measurement.
type Result struct {
	Policy         string
	BaselineP95Ms  float64
	OutP95Ms       float64
	ReturnP95Ms    float64
	Failed         int64
	NewWorkAfter3s int
	TwiceRun       int
	WrongAnswers   int64
	// SecondsToSteady is the time after the return until latency stays near the baseline.
	SecondsToSteady float64
	// MaxOverLimit counts the requests that reached an engine above what it could bear.
	MaxOverLimit int
	Requests     load.Counts
}

// Start brings up a deployment with a version in service everywhere.
func Start(ctx context.Context, o Options) (*harness.Harness, error) {
	policy, err := picker.ByName(o.Policy)
	if err != nil {
		return nil, err
	}
	d := o.Deployment
	options := harness.Options{
		Deployment: d, Vms: d.Workers, ServiceVms: d.OnceWorkers, Entries: len(d.Places),
		Network:       network.Options{DomainDelay: d.DomainDelay, RegionDelay: d.RegionDelay, RegionPerSecond: d.RegionPerSecond},
		Engine:        engine.Options{Capacity: capacity, ColdCapacity: coldCapacity, WarmRequests: warmRequests, TokenTime: tokenTime, ReportLag: time.Second},
		FencedPercent: 50, MaxConcurrent: capacity, StartConcurrent: 1, SlowStartRequests: 2 * warmRequests,
		Picker: policy, Journal: o.Journal, QueueWait: 5 * time.Second,
	}
	if o.Policy != picker.NameTwoChoices {
		options.MaxConcurrent, options.StartConcurrent = unlimited, unlimited
	}
	h, err := harness.Start(options)
	if err != nil {
		return nil, err
	}
	version := d.Version("1")
	m, err := h.Origin.Publish(version, make([]byte, contentBytes), 0)
	if err == nil {
		err = h.Apply(ctx, d.Rules(version))
	}
	if err == nil {
		err = harness.Await(ctx, startLimit, func() bool { return h.Serving(m.Root) == d.Workers })
	}
	if err != nil {
		h.Stop()
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	return h, nil
}

// capacityPerSecond returns the completions a second that all warm engines bear.
func capacityPerSecond(d *deployment.Deployment) float64 {
	return float64(d.Workers*capacity) / (answerTokens * tokenTime.Seconds())
}

// newLoad returns a generator of completions and of calls that must not run twice.
func newLoad(h *harness.Harness, o *Options, perSecond float64, weights []float64) *load.Generator {
	d := &o.Deployment
	var targets []string
	for _, e := range h.Entries {
		targets = append(targets, "http://"+e.HttpAddress())
	}
	const oncePerSecond = 10
	return load.New(load.Options{
		Targets: targets, Accounts: d.Accounts, AccountWeights: weights, Seed: o.Seed, Prefix: fmt.Sprint("domain-", o.Seed),
		Classes: []load.Class{
			{Name: "completion", Method: "POST", Path: "/" + d.EngineGroup + "/v1/completions", Tokens: answerTokens, PerSecond: perSecond},
			{Name: "once", Method: "POST", Path: "/" + d.OnceGroup + d.OnceTarget, Once: true, PerSecond: oncePerSecond},
		},
	}, "warm-up")
}

// warmUp sends a light load until slow start is over.
func warmUp(h *harness.Harness, o *Options) {
	light := *o
	light.Seed++
	g := newLoad(h, &light, warmPart*capacityPerSecond(&o.Deployment), nil)
	g.Start()
	time.Sleep(warmTime)
	g.Stop()
}

// Run takes one failure domain out under load and brings it back.
func Run(ctx context.Context, o Options) (Result, error) {
	h, err := Start(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer h.Stop()
	warmUp(h, &o)
	g := newLoad(h, &o, o.LoadPart*capacityPerSecond(&o.Deployment), nil)
	g.Start()
	r := &run{options: o, harness: h, generator: g}
	err = r.phases(ctx)
	g.Stop()
	if err != nil {
		return Result{}, err
	}
	return r.result(), nil
}

type run struct {
	options   Options
	harness   *harness.Harness
	generator *load.Generator
	baseline  *load.Phase
	out       *load.Phase
	back      []*load.Phase
	newWork   int
	overStart int
}

func (r *run) phases(ctx context.Context) error {
	d := &r.options.Deployment
	rules := d.Rules(d.Version("1"))
	domain := d.Places[1].Domain
	time.Sleep(warmTime)
	r.overStart = r.overLimit()
	r.baseline = r.generator.Enter("baseline")
	time.Sleep(phaseTime)

	r.out = r.generator.Enter("out")
	if err := r.harness.Apply(ctx, rules+fmt.Sprintf("Out %s # %s: rack work\n", domain, d.Asker)); err != nil {
		return err
	}
	time.Sleep(newWorkGrace)
	before := r.admitted(domain)
	time.Sleep(phaseTime - newWorkGrace)
	r.newWork = r.admitted(domain) - before

	for _, vm := range r.harness.EngineVms() {
		if vm.Place.Domain == domain {
			vm.Engine.ResetWarmup()
		}
	}
	if err := r.harness.Apply(ctx, rules); err != nil {
		return err
	}
	for range int(phaseTime / windowTime) {
		r.back = append(r.back, r.generator.Enter("return"))
		time.Sleep(windowTime)
	}
	r.generator.Enter("end")
	return nil
}

func (r *run) admitted(domain string) int {
	n := 0
	for _, vm := range r.harness.Vms {
		if vm.Place.Domain == domain {
			n += vm.Side.Admitted()
		}
	}
	return n
}

func (r *run) overLimit() int {
	n := 0
	for _, vm := range r.harness.EngineVms() {
		n += vm.Engine.Observations().OverLimit
	}
	return n
}

func (r *run) result() Result {
	total := r.generator.Total()
	baseline := millis(r.baseline.Quantile(95))
	result := Result{
		Policy: r.options.Policy, BaselineP95Ms: baseline, OutP95Ms: millis(r.out.Quantile(95)),
		Failed:         total.NotRun + total.Unknown + total.Cut + total.Errors,
		NewWorkAfter3s: r.newWork, TwiceRun: r.harness.Runs.Repeated(), WrongAnswers: total.Wrong + total.Short,
		MaxOverLimit: r.overLimit() - r.overStart, Requests: total,
	}
	for i, p := range r.back {
		p95 := millis(p.Quantile(95))
		result.ReturnP95Ms = max(result.ReturnP95Ms, p95)
		if p95 > steadyFactor*baseline {
			result.SecondsToSteady = (time.Duration(i+1) * windowTime).Seconds()
		}
	}
	return result
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
