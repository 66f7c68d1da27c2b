package experiments

import (
	"context"
	"fmt"
	"strings"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/domain"
	"github.com/oriolehub/oriolehub/internal/bench/report"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/route/picker"
)

// Targets while a failure domain is out of service, after its return and under overload.
const (
	// maxLatencyFactor limits the ratio of the p95 latency to that before the failure domain was taken out.
	maxLatencyFactor = 1.3
	// minGoodput is the minimum fraction of the capacity that completed requests use under overload.
	minGoodput = 0.95
	// maxShareError limits the deviation of a client account from its share under overload, as a fraction of the share.
	maxShareError = 0.1
	// defaultDomainLoad is the default load as a fraction of the capacity.
	defaultDomainLoad = 0.6
)

// domainFlags holds the values of the flags of MeasureDomain.
type domainFlags struct {
	policies, plot, deployment, log string
	seed                            int
	load                            float64
}

// MeasureDomain returns the command that measures requests while a failure domain is out of service and after its
// return.
func MeasureDomain() *table.Command {
	f := &domainFlags{
		policies:   strings.Join([]string{picker.NameTwoChoices, picker.NameRoundRobin, picker.NameLeastConnections}, ","),
		deployment: deployment.Puhas, seed: 1, load: defaultDomainLoad,
	}
	return &table.Command{
		Name:    "measure domain",
		Section: table.Experiments,
		Help:    "measure latency and failures while a failure domain is taken out of service and brought back",
		Detail:  "Prints one line of JSON per policy; the baselines run without slow start and admission control.",
		Flags: []table.Flag{
			{Name: "policy", Help: "comma-separated load-balancing policies", Target: &f.policies},
			{Name: "load", Help: "load as a fraction of the capacity", Target: &f.load},
			{Name: "deployment", Help: "puhas or nakhla", Target: &f.deployment},
			{Name: "seed", Help: "random seed of the arrivals", Target: &f.seed},
			{Name: "plot", Help: "PNG file to which a plot is written", Target: &f.plot},
			{Name: "log", Help: "file to which all processes log", Target: &f.log},
		},
		Run: f.run,
	}
}

func (f *domainFlags) run(ctx context.Context, env *table.Env) error {
	d, j, closeLog, err := prepareRun(f.deployment, f.log)
	if err != nil {
		return err
	}
	defer closeLog()
	var results []domain.Result
	for _, policy := range strings.Split(f.policies, ",") {
		if _, err := picker.ByName(policy); err != nil {
			return table.ExitErrorf(table.ExitUsage, "%w", err)
		}
		r, err := domain.Run(ctx, domain.Options{Deployment: d, Policy: policy, LoadPart: f.load, Seed: uint64(f.seed), Journal: j})
		if err != nil {
			return err
		}
		if err := printLine(env, r); err != nil {
			return err
		}
		results = append(results, r)
	}
	if f.plot != "" {
		if err := plotDomain(f.plot, results); err != nil {
			return err
		}
	}
	return missedTargetsError(missedDomainTargets(results))
}

// missedDomainTargets returns a message for each target that the results of the two-choices policy miss.
func missedDomainTargets(results []domain.Result) []string {
	var out missedTargets
	for _, r := range results {
		if r.Policy != picker.NameTwoChoices {
			continue
		}
		out.checkAtMost("", "Failed", float64(r.Failed), 0)
		out.checkAtMost("", "NewWorkAfter3s", float64(r.NewWorkAfter3s), 0)
		out.checkAtMost("", "TwiceRun", float64(r.TwiceRun), 0)
		out.checkAtMost("", "WrongAnswers", float64(r.WrongAnswers), 0)
		out.checkAtMost("", "MaxOverLimit", float64(r.MaxOverLimit), 0)
		out.checkAtMost("", "OutP95Ms", r.OutP95Ms, maxLatencyFactor*r.BaselineP95Ms)
		out.checkAtMost("", "ReturnP95Ms", r.ReturnP95Ms, maxLatencyFactor*r.BaselineP95Ms)
	}
	return out
}

func plotDomain(file string, results []domain.Result) error {
	var series []*report.Series
	for _, r := range results {
		series = append(series, &report.Series{Name: r.Policy, X: []float64{1, 2, 3}, Y: []float64{r.BaselineP95Ms, r.OutP95Ms, r.ReturnP95Ms}})
	}
	return report.Plot(file, report.Chart{Title: "p95 before (1), out (2), return (3)", X: "phase", Y: "ms", Series: series})
}

// MeasureOverload returns the command that measures requests at twice the capacity.
func MeasureOverload() *table.Command {
	name, logFile, seed := deployment.Puhas, "", 1
	return &table.Command{
		Name:    "measure overload",
		Section: table.Experiments,
		Help:    "measure goodput and fairness at a load of twice the capacity",
		Flags: []table.Flag{
			{Name: "deployment", Help: "puhas or nakhla", Target: &name},
			{Name: "seed", Help: "random seed of the arrivals", Target: &seed},
			{Name: "log", Help: "file to which all processes log", Target: &logFile},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			d, j, closeLog, err := prepareRun(name, logFile)
			if err != nil {
				return err
			}
			defer closeLog()
			r, err := domain.RunOverload(ctx, domain.Options{Deployment: d, Seed: uint64(seed), Journal: j})
			if err != nil {
				return err
			}
			if err := printLine(env, r); err != nil {
				return err
			}
			return missedTargetsError(missedOverloadTargets(r))
		},
	}
}

// missedOverloadTargets returns a message for each target that r misses.
func missedOverloadTargets(r domain.Overload) []string {
	var out []string
	if r.Goodput < minGoodput {
		out = append(out, fmt.Sprintf("Goodput %.2f, want at least %.2f", r.Goodput, minGoodput))
	}
	if r.WorstShare > maxShareError {
		out = append(out, fmt.Sprintf("WorstShare %.2f, want at most %.2f", r.WorstShare, maxShareError))
	}
	if r.RefusedButRun > 0 {
		out = append(out, fmt.Sprintf("RefusedButRun %d, want 0", r.RefusedButRun))
	}
	return out
}
