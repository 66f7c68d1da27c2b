package trial_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/trial"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// writeTestFile returns a small file to push.
func writeTestFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "weights")
	assert.NilError(t, os.WriteFile(file, bytes.Repeat([]byte("weights of a model\n"), 10_000), 0o600))
	return file
}

// Guards against faults of the store, the origin, engines and services, drawn at random from a seed, that make an
// engine load other content, an at-most-once request run twice, a request rejected as not run run all the same, or a
// response be truncated or belong to another request.
func TestPushAmongFaults(t *testing.T) {
	d, err := deployment.Named(deployment.Puhas)
	assert.NilError(t, err)
	file := writeTestFile(t)
	// The requests of a trial do not wait for each other, so that a busy machine keeps many open. Several trials at once could reach
	// the limit of open files of the test process.
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			s, err := trial.Run(t.Context(), trial.Options{
				Deployment: d, File: file, Vms: 5, Target: 4 * time.Second, PhaseTime: 500 * time.Millisecond,
				Faults: standin.NewFaults(seed, standin.AllFaultRates), Journal: journal.Discard(),
			})
			assert.NilError(t, err)
			assert.DeepEqual(t, s.Faults(), []string(nil))
			assert.Assert(t, s.Requests.Answered > 0)
		})
	}
}

// Guards against a trial that exhausts the memory of the machine: 200 VMs with two copies of 64 MiB each need 25 GiB.
func TestRejectsPushAboveMemoryLimit(t *testing.T) {
	file := filepath.Join(t.TempDir(), "large")
	f, err := os.Create(file)
	assert.NilError(t, err)
	assert.NilError(t, f.Truncate(64<<20))
	assert.NilError(t, f.Close())
	_, err = trial.Run(t.Context(), trial.Options{File: file, Vms: 200, Target: time.Second, Journal: journal.Discard()})
	assert.ErrorContains(t, err, "fewer VMs")
}
