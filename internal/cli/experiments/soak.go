package experiments

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/internal/soak/session"
)

const (
	// maxSoakProcesses limits the processes of a soak, maxSoakTime its time.
	maxSoakProcesses = 300
	maxSoakTime      = time.Hour
	// processBytes is the memory that is assumed for each process.
	processBytes = 32 << 20
	// shrinkRepeats is the number of times that a smaller plan is played, shrinkFailures how often it must fail to
	// replace the larger one.
	shrinkRepeats  = 3
	shrinkFailures = 2
	// shownViolations limits the violations that are printed for each seed.
	shownViolations = 8
)

// soakOptions are the flags of the command.
type soakOptions struct {
	seed, seeds int
	processes   int
	length      time.Duration
	planFile    string
	folder      string
	shrink      bool
	load        bool
	changes     bool
}

// Soak returns the command that runs the processes on one machine while faults befall them.
func Soak() *table.Command {
	o := soakOptions{seed: 1, seeds: 1, processes: 9, length: 40 * time.Second, folder: "out/soak"}
	return &table.Command{
		Name:    "soak",
		Section: table.Experiments,
		Help:    "run the processes of the users' platform on this machine while faults befall them, and check the promises",
		Detail: "Entry and side processes run as processes of their own on loopback, against stand-ins of the users'\n" +
			"platform. Each seed gives a plan of faults: signals, disturbed connections, a store and upstreams that\n" +
			"misbehave, changes by the operator. What callers and upstreams see is compared with what the system\n" +
			"promises. The plan, the logs and a report of each seed are in a folder of its own below --folder.",
		Flags: []table.Flag{
			{Name: "seed", Help: "first seed", Target: &o.seed},
			{Name: "seeds", Help: "number of seeds, played one after the other", Target: &o.seeds},
			{Name: "time", Help: "time of each seed, of which the last 14s are without faults", Target: &o.length},
			{Name: "processes", Help: fmt.Sprintf("number of processes, from 4 to %d", maxSoakProcesses), Target: &o.processes},
			{Name: "plan", Help: "file with a plan to play in place of seeds, or folder with several", Target: &o.planFile},
			{Name: "folder", Help: "folder for plans, logs and reports", Target: &o.folder},
			{Name: "shrink", Help: "leave out faults of a failed plan as long as it fails", Target: &o.shrink},
			{Name: "load", Help: "add callers outside the limits, upstreams that respond slowly, and a check on memory to the plans of seeds", Target: &o.load},
			{Name: "changes", Help: "add changes of routes, and upstreams that are silent for about a second, to the plans of seeds", Target: &o.changes},
		},
		Run: o.run,
	}
}

// check returns an error if the flags can't be used.
func (o *soakOptions) check() error {
	switch {
	case o.processes < 4 || o.processes > maxSoakProcesses:
		return table.ExitErrorf(table.ExitUsage, "--processes %d: must be from 4 to %d", o.processes, maxSoakProcesses)
	case o.length <= plan.FaultFree || o.length > maxSoakTime:
		return table.ExitErrorf(table.ExitUsage, "--time %s: must be over %s and at most %s", o.length, plan.FaultFree, maxSoakTime)
	case o.seeds < 1 || o.seed < 0:
		return table.ExitErrorf(table.ExitUsage, "--seeds must be at least 1 and --seed at least 0")
	}
	if limit := machineMemory() / 2; limit > 0 && int64(o.processes)*processBytes > limit {
		return table.ExitErrorf(table.ExitUsage, "--processes %d: would take more than half of the memory of this machine", o.processes)
	}
	return nil
}

// size divides the processes: a third are entry processes, the others side processes with their engines.
func (o *soakOptions) size() plan.Size {
	entries := max(2, o.processes/3)
	return plan.Size{Entries: entries, Engines: o.processes - entries, Plain: 3}
}

func (o *soakOptions) run(ctx context.Context, env *table.Env) error {
	if err := o.check(); err != nil {
		return err
	}
	plans, err := o.plans()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := 0
	for _, p := range plans {
		r, err := o.play(ctx, env, p, o.folder)
		if err != nil {
			return err
		}
		if len(r.Violations) == 0 {
			continue
		}
		failed++
		if o.shrink {
			if err := o.shrinkPlan(ctx, env, p); err != nil {
				return err
			}
		}
	}
	if failed > 0 {
		return table.ExitErrorf(table.ExitMissed, "%d of %d plans broke a promise", failed, len(plans))
	}
	return nil
}

// plans returns the plans in the file or folder, or those of the seeds.
func (o *soakOptions) plans() ([]*plan.Plan, error) {
	if o.planFile != "" {
		return readPlans(o.planFile)
	}
	var out []*plan.Plan
	for i := range o.seeds {
		p := plan.Generate(uint64(o.seed+i), o.length, o.size())
		if o.load {
			p.AddLoad()
		}
		if o.changes {
			p.AddChanges()
		}
		out = append(out, p)
	}
	return out, nil
}

// readPlans reads a plan, or all plans in a folder.
func readPlans(path string) ([]*plan.Plan, error) {
	files := []string{path}
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		files, _ = filepath.Glob(filepath.Join(path, "*.txt"))
	}
	var out []*plan.Plan
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read plan: %w", err)
		}
		p, err := plan.Parse(string(text))
		if err != nil {
			return nil, table.ExitErrorf(table.ExitUsage, "%s: %w", file, err)
		}
		out = append(out, p)
	}
	return out, nil
}

// play plays a plan in a folder of its own below parent and prints its outcome.
func (o *soakOptions) play(ctx context.Context, env *table.Env, p *plan.Plan, parent string) (*session.Result, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	folder := filepath.Join(parent, fmt.Sprintf("seed-%d", p.Seed))
	r, err := session.Run(ctx, session.Options{Plan: p, Folder: folder, Program: cluster.Program{Path: program, Env: os.Environ()}})
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(env.Out, "seed %d: %d faults, %d requests, %d violations; %s\n", p.Seed, len(p.Faults), len(r.Seen.Requests), len(r.Violations), folder)
	if p.Memory > 0 {
		printMemory(env, r)
	}
	for i, v := range r.Violations {
		if i == shownViolations {
			fmt.Fprintf(env.Out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(env.Out, " ", v)
	}
	return r, session.WriteReport(r, folder)
}

// printMemory prints the largest memory of a process, and what callers outside the limits have done meanwhile.
func printMemory(env *table.Env, r *session.Result) {
	var most record.Memory
	for _, m := range r.Seen.Memory {
		if m.Bytes > most.Bytes {
			most = m
		}
	}
	var connections, bytes int64
	for _, totals := range r.Excess {
		connections += totals.Connections.Load()
		bytes += totals.Bytes.Load()
	}
	fmt.Fprintf(env.Out, "  memory: at most %d of %d MiB, at %s; outside the limits: %d connections, %d KiB sent\n",
		most.Bytes>>20, r.Plan.Memory, most.Process, connections, bytes>>10)
}

// shrinkPlan leaves out parts of the faults, ever smaller ones, as long as the plan still fails.
func (o *soakOptions) shrinkPlan(ctx context.Context, env *table.Env, p *plan.Plan) error {
	for part := max(1, len(p.Faults)/2); ; part /= 2 {
		for i := 0; i < len(p.Faults); {
			smaller := p.Without(i, min(len(p.Faults), i+part))
			fails, err := o.stillFails(ctx, env, smaller)
			switch {
			case err != nil:
				return err
			case fails:
				p = smaller
			default:
				i += part
			}
		}
		if part <= 1 {
			break
		}
	}
	file := filepath.Join(o.folder, fmt.Sprintf("seed-%d-shrunk.txt", p.Seed))
	if err := os.WriteFile(file, []byte(p.String()), 0o644); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	fmt.Fprintf(env.Out, "shrunk to %d faults: %s\n", len(p.Faults), file)
	return nil
}

// stillFails reports whether a plan fails in most of some repeats. What the whole plan has left is kept.
func (o *soakOptions) stillFails(ctx context.Context, env *table.Env, p *plan.Plan) (bool, error) {
	failures := 0
	for range shrinkRepeats {
		r, err := o.play(ctx, env, p, filepath.Join(o.folder, "shrink"))
		if err != nil {
			return false, err
		}
		if len(r.Violations) > 0 {
			failures++
		}
	}
	return failures >= shrinkFailures, nil
}

// machineMemory returns the memory of this machine in bytes, 0 if that can't be found.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kilobytes int64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}
