package commands

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/cli/table"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
)

// idle is a daemon without requests.
type idle struct{ stopped chan struct{} }

func (d idle) Stop(context.Context) { close(d.stopped) }

// Guards against a SIGHUP or SIGTERM that ends a process at once because it comes while the process starts.
func TestSignalsDuringTheStartDoNotEndTheProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("x"), 0o600))
	d := idle{stopped: make(chan struct{})}
	var out bytes.Buffer
	kind := processKind[string]{
		name:         "idle",
		loadSettings: func(string) (string, error) { return "", nil },
		logSettings:  func(*string) settings.Log { return settings.Log{Level: "info"} },
		stopTimeout:  func(*string) time.Duration { return stopLimit },
		start: func(string, *journal.Journal) (daemon, addresses, error) {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				assert.NilError(t, syscall.Kill(os.Getpid(), s))
			}
			time.Sleep(signalTime)
			return d, addresses{}, nil
		},
	}
	c := kind.command()
	*c.Flags[0].Target.(*string) = file
	assert.NilError(t, c.Run(t.Context(), &table.Env{Out: &out}))
	<-d.stopped
	assert.Assert(t, strings.Contains(out.String(), `"stopped"`), out.String())
}
