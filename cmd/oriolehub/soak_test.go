package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/soak/check"
	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/internal/soak/session"
)

// soak runs the soak command in a separate process and returns its output and exit code.
func soak(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], append([]string{"soak"}, args...)...)
	cmd.Env = append(os.Environ(), envProgram+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		_, isExit := err.(*exec.ExitError)
		assert.Assert(t, isExit, "%v", err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// A plan with one fault of each part: processes, connections, the store, upstreams and the operator.
const shortPlan = `Seed 1
Time 17s
Size 2 2 2
Fault 500ms 500ms Kill entry-0
Fault 500ms 500ms CutFrom engine-0
Fault 600ms 500ms StoreBusy -
Fault 700ms 300ms Leave plain-0
Fault 800ms 0s ChangeKey -
Fault 900ms 300ms Pause side-1
`

func TestSoakPlaysAPlan(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "plan.txt")
	assert.NilError(t, os.WriteFile(file, []byte(shortPlan), 0o600))
	out, code := soak(t, "--plan", file, "--folder", folder)
	assert.Equal(t, code, table.ExitOK, out)
	assert.Assert(t, strings.HasPrefix(out, "seed 1: 6 faults, "), out)
	for _, name := range []string{"plan.txt", "report.html", "entry-0.log", "side-1.yaml"} {
		info, err := os.Stat(filepath.Join(folder, "seed-1", name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0, name)
	}
}

// A plan with each fault of load. Its memory is above what processes take with the race detector.
const loadPlan = `Seed 2
Time 3s
Size 2 2 2
Memory 1024
Fault 200ms 1s ShortBodies entry-0
Fault 200ms 1s EndlessHeaders entry-1
Fault 300ms 1s UnreadResponses entry-1
Fault 300ms 1s SlowDown plain-0
Fault 300ms 1s SlowDown engine-0
`

// Guards against a kind of callers outside the limits that opens no connection or sends nothing: the checks would find nothing.
// How many connections are opened within the time of a fault depends on the machine.
func TestSoakAppliesEachFaultOfLoad(t *testing.T) {
	p, err := plan.Parse(loadPlan)
	assert.NilError(t, err)
	program := cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}
	r, err := session.Run(t.Context(), session.Options{Plan: p, Folder: t.TempDir(), Program: program})
	assert.NilError(t, err)
	for _, kind := range []plan.Kind{plan.ShortBodies, plan.EndlessHeaders, plan.UnreadResponses} {
		totals := r.Excess[kind]
		assert.Assert(t, totals != nil, kind)
		assert.Assert(t, totals.Connections.Load() > 0 && totals.Bytes.Load() > 0, kind)
	}
}

// A plan with each fault of the connections to upstreams that disturbs nothing.
const heldUpPlan = `Seed 3
Time 3s
Size 1 1 1
Fault 200ms 1s Stall plain-0
Fault 200ms 1s Late engine-0
`

// Guards against connections that are held up being recorded as a disturbance, which would excuse requests that end without an answer.
func TestSoakHoldsUpConnections(t *testing.T) {
	p, err := plan.Parse(heldUpPlan)
	assert.NilError(t, err)
	program := cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}
	r, err := session.Run(t.Context(), session.Options{Plan: p, Folder: t.TempDir(), Program: program})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Seen.Disturbances), 0)
	var heldUp []string
	for _, c := range r.Seen.Changes {
		if c.Kind == record.HeldUp && c.Until > 0 {
			heldUp = append(heldUp, c.Subject)
		}
	}
	slices.Sort(heldUp)
	assert.DeepEqual(t, heldUp, []string{"engine-0", "plain-0"})
	for _, v := range r.Violations {
		assert.Check(t, v.Promise == check.Recovers, v.String())
	}
}

// Guards against faults of load and memory that are missing in the output and the report. The plan is too short for the check
// on recovery, so that the exit code tells nothing.
func TestSoakReportsFaultsOfLoad(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "plan.txt")
	assert.NilError(t, os.WriteFile(file, []byte(loadPlan), 0o600))
	out, _ := soak(t, "--plan", file, "--folder", folder)
	assert.Assert(t, strings.HasPrefix(out, "seed 2: 5 faults, "), out)
	assert.Assert(t, !strings.Contains(out, check.WithinMemory), out)
	_, line, _ := strings.Cut(out, "memory: ")
	var most, limit, connections, sent int
	var process string
	_, err := fmt.Sscanf(line, "at most %d of %d MiB, at %s outside the limits: %d connections, %d KiB sent", &most, &limit, &process, &connections, &sent)
	assert.NilError(t, err, out)
	assert.Assert(t, most > 0 && limit == 1024, out)
	assert.Assert(t, connections > 0 && sent > 0, out)
	report, err := os.ReadFile(filepath.Join(folder, "seed-2", "report.html"))
	assert.NilError(t, err)
	for _, bar := range []string{"callers outside the limits entry-0", "callers outside the limits entry-1", "SlowDown plain-0", "SlowDown engine-0"} {
		assert.Assert(t, strings.Contains(string(report), bar), bar)
	}
}

func TestSoakRejectsWhatItCannotPlay(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.txt")
	assert.NilError(t, os.WriteFile(file, []byte("Seed 1\nTime 20s\nSize 2 2 1\nFault 1s 1s Kill entry-7\n"), 0o600))
	for _, args := range [][]string{{"--processes", "2"}, {"--processes", "1000"}, {"--time", "3s"}, {"--seeds", "0"}, {"--plan", file}} {
		out, code := soak(t, args...)
		assert.Equal(t, code, table.ExitUsage, "%v: %s", args, out)
	}
}
