package experiments

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/fleet"
	"github.com/oriolehub/oriolehub/internal/bench/report"
	"github.com/oriolehub/oriolehub/internal/cli/table"
)

// Targets for the propagation of rule changes and the cost of the control plane per daemon.
const (
	// maxPropagationSeconds limits the time until all daemons apply a change, for up to maxPropagationDaemons daemons
	// without faults.
	maxPropagationSeconds = 3.0
	maxPropagationDaemons = 400
	// maxControlBytesPerSecond, maxControlCPUPercent and maxControlMemoryMB limit the cost of the control plane per daemon.
	maxControlBytesPerSecond = 14e3
	maxControlCPUPercent     = 4.0
	maxControlMemoryMB       = 256.0
	// minFleetDaemons is the smallest number of daemons that can be measured.
	minFleetDaemons = 10
)

// fleetFaults lists the faults that the command can inject.
var fleetFaults = []string{fleet.FaultStoreSlow, fleet.FaultStoreDown, fleet.FaultLostReplies, fleet.FaultRestart, fleet.FaultPartition}

// MeasureFleet returns the command that measures the propagation of rule changes to many daemons.
func MeasureFleet() *table.Command {
	daemons, faults, plot, logFile, name := "50,100,200,400", "", "", "", deployment.Nakhla
	rate, changes := 0.5, 10
	return &table.Command{
		Name:    "measure fleet",
		Section: table.Experiments,
		Help:    "measure the propagation of rule changes and the cost of the control plane per daemon",
		Detail:  "All daemons run in this process; CPU and memory per daemon are averages over the whole process.",
		Flags: []table.Flag{
			{Name: "daemons", Help: "comma-separated numbers of daemons", Target: &daemons},
			{Name: "changes", Help: "number of rule changes", Target: &changes},
			{Name: "rate", Help: "rule changes per second", Target: &rate},
			{Name: "faults", Help: "faults to inject: any of " + strings.Join(fleetFaults, ", ") + "; comma-separated", Target: &faults},
			{Name: "deployment", Help: "puhas or nakhla", Target: &name},
			{Name: "plot", Help: "PNG file to which a plot is written", Target: &plot},
			{Name: "log", Help: "file to which all processes log", Target: &logFile},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			sizes, err := parseSizes(daemons)
			if err != nil {
				return err
			}
			chosen, err := parseFaults(faults)
			if err != nil {
				return err
			}
			if changes < 1 || rate <= 0 || slices.Min(sizes) < minFleetDaemons {
				return table.ExitErrorf(table.ExitUsage, "--changes must be at least 1, --rate greater than 0 and --daemons at least %d", minFleetDaemons)
			}
			d, j, closeLog, err := prepareRun(name, logFile)
			if err != nil {
				return err
			}
			defer closeLog()
			var results []fleet.Result
			for _, n := range sizes {
				r, err := fleet.Run(ctx, fleet.Options{Deployment: d, ChangesPerSecond: rate, Changes: changes, Faults: chosen, Journal: j}, n)
				if err != nil {
					return err
				}
				if err := printLine(env, r); err != nil {
					return err
				}
				results = append(results, r)
			}
			if plot != "" {
				if err := plotFleet(plot, results); err != nil {
					return err
				}
			}
			return missedTargetsError(missedFleetTargets(results))
		},
	}
}

// parseFaults returns the faults in a comma-separated list.
func parseFaults(list string) ([]string, error) {
	var out []string
	for word := range strings.SplitSeq(list, ",") {
		if word == "" {
			continue
		}
		if !slices.Contains(fleetFaults, word) {
			return nil, table.ExitErrorf(table.ExitUsage, "unknown fault %q: want one of %s", word, strings.Join(fleetFaults, ", "))
		}
		out = append(out, word)
	}
	return out, nil
}

// missedFleetTargets returns a message for each target that the results miss.
func missedFleetTargets(results []fleet.Result) []string {
	var out missedTargets
	for _, r := range results {
		prefix := fmt.Sprintf("%d daemons: ", r.Daemons)
		if len(r.Faults) == 0 && r.Daemons <= maxPropagationDaemons {
			out.checkAtMost(prefix, "SecondsToAll100", r.SecondsToAll100, maxPropagationSeconds)
		}
		out.checkAtMost(prefix, "ControlBytesPerSecondPerDaemon", r.ControlBytesPerSecondPerDaemon, maxControlBytesPerSecond)
		out.checkAtMost(prefix, "CpuPercentPerDaemon", r.CpuPercentPerDaemon, maxControlCPUPercent)
		out.checkAtMost(prefix, "MemoryMbPerDaemon", r.MemoryMbPerDaemon, maxControlMemoryMB)
		out.checkAtMost(prefix, "Reverted", float64(r.Reverted), 0)
	}
	return out
}

func plotFleet(file string, results []fleet.Result) error {
	half, all := &report.Series{Name: "50% of daemons"}, &report.Series{Name: "100% of daemons"}
	for _, r := range results {
		half.X, half.Y = append(half.X, float64(r.Daemons)), append(half.Y, r.SecondsToAll50)
		all.X, all.Y = append(all.X, float64(r.Daemons)), append(all.Y, r.SecondsToAll100)
	}
	return report.Plot(file, report.Chart{Title: "Time until a change is in force", X: "daemons", Y: "seconds", Series: []*report.Series{half, all}})
}
