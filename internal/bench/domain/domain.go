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
	// capacity is the number of concurrent requests at a warm engine, coldCapacity that at a cold one. An engine is
	// warm after warmRequests requests.
	capacity     = 8
	coldCapacity = 2
	warmRequests = 40
	// completionTokens is the length of a completion, tokenTime the generation time of one token.
	completionTokens = 20
	tokenTime        = 10 * time.Millisecond
	// warmUpTime is the duration of a light load, and then of the full load, before the measurement.
	warmUpTime = 10 * time.Second
	// warmUpLoad is the light load as a fraction of the capacity.
	warmUpLoad = 0.15
	// phaseTime is the duration of each phase, windowTime the length of the intervals into which the return phase is
	// split.
	phaseTime  = 10 * time.Second
	windowTime = time.Second
	// newWorkGrace is the time after which a failure domain that is out of service must receive no new requests.
	newWorkGrace = 3 * time.Second
	// startTimeout is the maximum time until all VMs serve the version.
	startTimeout = 3 * time.Minute
	contentBytes = 256 << 10
	// unlimited is the concurrency limit of the baseline policies, which run without admission control.
	unlimited = 1 << 20
	// steadyFactor is the ratio of the latency to the baseline up to which the service is considered steady.
	steadyFactor = 1.3
)

// Options configure a measurement.
type Options struct {
	Deployment deployment.Deployment
	// Policy is a name that picker.ByName accepts. All policies but two-choices are baselines, which run without slow
	// start and admission control.
	Policy string
	// LoadPart is the load as a fraction of the capacity of all engines when warm.
	LoadPart float64
	// Seed determines the arrivals of requests.
	Seed    uint64
	Journal *journal.Journal
}

// Result holds the figures measured with one policy.
type Result struct {
	Policy string
	// BaselineP95Ms, OutP95Ms and ReturnP95Ms are the 95th percentiles of the latency before the failure domain is
	// taken out, while it is out, and in the worst second after its return.
	BaselineP95Ms float64
	OutP95Ms      float64
	ReturnP95Ms   float64
	// Failed counts the requests that were rejected, failed, were cut off or had an unknown outcome.
	Failed int64
	// NewWorkAfter3s counts the requests that the failure domain received later than 3 s after it was taken out.
	NewWorkAfter3s int
	// TwiceRun counts the at-most-once requests that ran more than once.
	TwiceRun int
	// WrongAnswers counts the responses that were truncated or belonged to another request.
	WrongAnswers int64
	// SecondsToSteady is the time from the return until the latency stays within steadyFactor of the baseline.
	SecondsToSteady float64
	// MaxOverLimit counts the requests that reached an engine that was already at its capacity.
	MaxOverLimit int
	Requests     load.Counts
}

// Start starts a deployment with a version in service on all VMs.
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
		err = harness.Await(ctx, startTimeout, func() bool { return h.Serving(m.Root) == d.Workers })
	}
	if err != nil {
		h.Stop()
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	return h, nil
}

// capacityPerSecond returns the number of completions per second that all engines can serve when warm.
func capacityPerSecond(d *deployment.Deployment) float64 {
	return float64(d.Workers*capacity) / (completionTokens * tokenTime.Seconds())
}

// newGenerator returns a generator of perSecond completions and a few at-most-once requests per second; weights are
// the relative rates of the client accounts, nil for equal rates.
func newGenerator(h *harness.Harness, o *Options, perSecond float64, weights []float64) *load.Generator {
	d := &o.Deployment
	var targets []string
	for _, e := range h.Entries {
		targets = append(targets, "http://"+e.HttpAddress())
	}
	const oncePerSecond = 10
	return load.New(load.Options{
		Targets: targets, Accounts: d.Accounts, AccountWeights: weights, Seed: o.Seed, Prefix: fmt.Sprint("domain-", o.Seed),
		Classes: []load.Class{
			{Name: "completion", Method: "POST", Path: "/" + d.EngineGroup + "/v1/completions", Tokens: completionTokens, PerSecond: perSecond},
			{Name: "once", Method: "POST", Path: "/" + d.OnceGroup + d.OnceTarget, Once: true, PerSecond: oncePerSecond},
		},
	}, "warm-up")
}

// warmUp sends a light load for warmUpTime, in which slow start ends.
func warmUp(h *harness.Harness, o *Options) {
	warmUpOptions := *o
	warmUpOptions.Seed++
	g := newGenerator(h, &warmUpOptions, warmUpLoad*capacityPerSecond(&o.Deployment), nil)
	g.Start()
	time.Sleep(warmUpTime)
	g.Stop()
}

// Run takes one failure domain out of service under load and puts it back.
func Run(ctx context.Context, o Options) (Result, error) {
	h, err := Start(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer h.Stop()
	warmUp(h, &o)
	g := newGenerator(h, &o, o.LoadPart*capacityPerSecond(&o.Deployment), nil)
	g.Start()
	r := &run{options: o, harness: h, generator: g}
	err = r.runPhases(ctx)
	g.Stop()
	if err != nil {
		return Result{}, err
	}
	return r.result(), nil
}

// run is the state of a measurement.
type run struct {
	options      Options
	harness      *harness.Harness
	generator    *load.Generator
	baseline     *load.Phase
	outPhase     *load.Phase
	returnPhases []*load.Phase
	// newRequests counts the requests that the failure domain received after newWorkGrace while it was out.
	newRequests int
	// overLimitBefore is the value of overLimit before the baseline phase.
	overLimitBefore int
}

// runPhases runs the phases baseline, out and return. The engines of the failure domain are cold when it returns.
func (r *run) runPhases(ctx context.Context) error {
	d := &r.options.Deployment
	rules := d.Rules(d.Version("1"))
	domain := d.Places[1].Domain
	time.Sleep(warmUpTime)
	r.overLimitBefore = r.overLimit()
	r.baseline = r.generator.BeginPhase("baseline")
	time.Sleep(phaseTime)

	r.outPhase = r.generator.BeginPhase("out")
	if err := r.harness.Apply(ctx, rules+fmt.Sprintf("Out %s # %s: rack work\n", domain, d.Asker)); err != nil {
		return err
	}
	time.Sleep(newWorkGrace)
	before := r.admitted(domain)
	time.Sleep(phaseTime - newWorkGrace)
	r.newRequests = r.admitted(domain) - before

	for _, vm := range r.harness.EngineVms() {
		if vm.Place.Domain == domain {
			vm.Engine.ResetWarmup()
		}
	}
	if err := r.harness.Apply(ctx, rules); err != nil {
		return err
	}
	for range int(phaseTime / windowTime) {
		r.returnPhases = append(r.returnPhases, r.generator.BeginPhase("return"))
		time.Sleep(windowTime)
	}
	r.generator.BeginPhase("end")
	return nil
}

// admitted returns the number of requests that a failure domain has admitted so far.
func (r *run) admitted(domain string) int {
	n := 0
	for _, vm := range r.harness.Vms {
		if vm.Place.Domain == domain {
			n += vm.Side.Admitted()
		}
	}
	return n
}

// overLimit returns the number of requests so far that reached an engine that was already at its capacity.
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
		Policy: r.options.Policy, BaselineP95Ms: baseline, OutP95Ms: millis(r.outPhase.Quantile(95)),
		Failed:         total.NotRun + total.Unknown + total.Cut + total.Errors,
		NewWorkAfter3s: r.newRequests, TwiceRun: r.harness.Runs.Repeated(), WrongAnswers: total.Wrong + total.Short,
		MaxOverLimit: r.overLimit() - r.overLimitBefore, Requests: total,
	}
	for i, p := range r.returnPhases {
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
