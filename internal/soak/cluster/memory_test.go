package cluster

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/soak/plan"
)

// A status that can't be read must not count as a process without memory.
func TestPeakMemoryIsReadFromTheStatus(t *testing.T) {
	bytes, ok := parsePeakMemory("Name:\toriolehub\nVmPeak:\t 1239104 kB\nVmHWM:\t   40960 kB\nVmRSS:\t   30000 kB\n")
	assert.Assert(t, ok)
	assert.Equal(t, bytes, int64(40<<20))
	for _, status := range []string{"", "Name:\toriolehub\nState:\tZ (zombie)\n", "VmHWM:\t x kB\n", "VmHWM:\t 0 kB\n", "VmHWM:"} {
		_, ok := parsePeakMemory(status)
		assert.Assert(t, !ok, "%q", status)
	}
}

// A process that has ended must not be measured by the number of another one.
func TestEndedProcessHasNoMemory(t *testing.T) {
	program, err := exec.LookPath("sleep")
	assert.NilError(t, err)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	defer log.Close()
	p := &Process{Name: "p", program: Program{Path: program}, args: []string{"60"}, log: log, onExit: func(error) {}}
	_, _, ok := p.PeakMemory()
	assert.Assert(t, !ok)
	assert.NilError(t, p.start())
	bytes, run, ok := p.PeakMemory()
	assert.Assert(t, ok)
	assert.Assert(t, bytes > 0)
	assert.Equal(t, run, 1)
	p.end(syscall.SIGKILL)
	_, _, ok = p.PeakMemory()
	assert.Assert(t, !ok)
	assert.Assert(t, errors.Is(p.running().cmd.Process.Signal(syscall.SIGTERM), os.ErrProcessDone))
}

// Guards against a memory setting in plans without a Memory line: recorded plans would play with other settings.
func TestMemoryIsInTheSettingsOnlyIfNamed(t *testing.T) {
	c := &Cluster{options: Options{Size: plan.Size{Entries: 1, Engines: 1, Plain: 1}}}
	assert.Assert(t, !strings.Contains(c.settings(nil), "MemoryMegabytes"))
	c.options.Memory = 96
	assert.Assert(t, strings.Contains(c.settings(nil), "\nMemoryMegabytes: 96\n"))
}
