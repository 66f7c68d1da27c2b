package experiments

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/trial"
	"github.com/oriolehub/oriolehub/internal/cli/client"
	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// maxTryVms is the maximum number of VMs of a trial.
const maxTryVms = 200

// Try returns the command that runs a trial on one machine: it distributes a file to VMs under live requests.
func Try() *table.Command {
	var file, logFile string
	var asJSON bool
	vms, target, name, seed := 16, 20*time.Second, deployment.Nakhla, 0
	return &table.Command{
		Name:    "try",
		Section: table.Experiments,
		Help:    "push a file to VMs on this machine under live requests",
		Detail: "Entry and side processes run on loopback in this process, against stand-ins of the users'\n" +
			"platform. The bandwidth of the links follows from the target time, in which the origin's link\n" +
			"can carry four copies of the file and each VM's link two. With --seed, the stand-ins of the\n" +
			"store, the origin, the engines and the services fail at random, determined by the seed.",
		Flags: []table.Flag{
			{Name: "file", Help: "file to push; generated if not given", Target: &file},
			{Name: "vms", Help: fmt.Sprintf("number of VMs with a model engine, up to %d", maxTryVms), Target: &vms},
			{Name: "target", Help: "target time of the distribution", Target: &target},
			{Name: "deployment", Help: "puhas or nakhla", Target: &name},
			{Name: "seed", Help: "random seed of the faults; 0 for no faults", Target: &seed},
			{Name: "log", Help: "file to which all processes log", Target: &logFile},
			{Name: "json", Help: "print JSON", Target: &asJSON},
		},
		Run: func(ctx context.Context, env *table.Env) error {
			if vms < 1 || vms > maxTryVms {
				return table.ExitErrorf(table.ExitUsage, "--vms %d: must be from 1 to %d", vms, maxTryVms)
			}
			if target <= 0 {
				return table.ExitErrorf(table.ExitUsage, "--target %s: must be greater than 0s", target)
			}
			d, err := deployment.Named(name)
			if err != nil {
				return table.ExitErrorf(table.ExitUsage, "%w", err)
			}
			j, closeLog, err := openLog(logFile)
			if err != nil {
				return err
			}
			defer closeLog()
			var faults *standin.Faults
			if seed != 0 {
				faults = standin.NewFaults(uint64(seed), standin.AllFaultRates)
			}
			s, err := trial.Run(ctx, trial.Options{
				Deployment: d, File: file, Vms: vms, Target: target, Faults: faults, Journal: j,
				Progress: newProgressReporter(env).report,
			})
			if err != nil {
				return err
			}
			return writeSummary(env, s, asJSON)
		},
	}
}

// writeSummary prints the summary of a trial and returns an error with the exit code ExitMissed if the trial failed.
func writeSummary(env *table.Env, s *trial.Summary, asJSON bool) error {
	var err error
	if asJSON {
		err = client.WriteJSON(env.Out, s)
	} else {
		err = s.Write(env.Out)
	}
	if err != nil {
		return err
	}
	if faults := s.Faults(); len(faults) > 0 {
		return table.ExitErrorf(table.ExitMissed, "%s", strings.Join(faults, "; "))
	}
	return nil
}

// openLog returns a journal that writes to file, or discards all lines if file is empty, and the function that closes
// it.
func openLog(file string) (*journal.Journal, func(), error) {
	if file == "" {
		return journal.Discard(), func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, fmt.Errorf("create log file: %w", err)
	}
	j, err := journal.New(journal.Options{Writer: f, Level: "info", Async: true})
	if err != nil {
		return nil, nil, err
	}
	return j, func() { _ = j.Close(); _ = f.Close() }, nil
}

// progressReporter prints the progress of a trial: a progress bar on a terminal, otherwise a line at intervals.
type progressReporter struct {
	out      io.Writer
	terminal bool
	// last is the time of the last report.
	last time.Time
}

func newProgressReporter(env *table.Env) *progressReporter {
	return &progressReporter{out: env.Err, terminal: env.Terminal}
}

const (
	// barWidth is the width of the progress bar in characters.
	barWidth = 40
	// barInterval and lineInterval are the minimum intervals between two reports on a terminal and elsewhere.
	barInterval  = 200 * time.Millisecond
	lineInterval = 2 * time.Second
)

// report prints p if the interval since the last report has passed or all VMs serve the version.
func (r *progressReporter) report(p trial.Progress) {
	done := p.Serving == p.Vms
	interval := lineInterval
	if r.terminal {
		interval = barInterval
	}
	if time.Since(r.last) < interval && !done {
		return
	}
	r.last = time.Now()
	text := fmt.Sprintf("%5.1f s  %3.0f%% fetched  %d of %d VMs hold, %d serve  %d requests answered",
		p.Elapsed.Seconds(), 100*p.Fetched, p.Holding, p.Vms, p.Serving, p.Requests.Answered)
	if !r.terminal {
		fmt.Fprintln(r.out, text)
		return
	}
	filled := int(p.Fetched * barWidth)
	fmt.Fprintf(r.out, "\r[%s%s] %s", strings.Repeat("#", filled), strings.Repeat(" ", barWidth-filled), text)
	if done {
		fmt.Fprintln(r.out)
	}
}
