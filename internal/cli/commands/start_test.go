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

// idle is a daemon without requests. It tells the time for its stop.
type idle struct{ stopped chan time.Duration }

func (d idle) Stop(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	d.stopped <- time.Until(deadline)
}

// runIdle runs a daemon with the settings file until it is stopped, and returns what it logs and the time for its stop. Settings are
// the time for a stop.
func runIdle(t *testing.T, file string, start func()) (logged string, limit time.Duration) {
	t.Helper()
	d := idle{stopped: make(chan time.Duration, 1)}
	var out bytes.Buffer
	kind := processKind[time.Duration]{
		name: "idle",
		loadSettings: func(string) (time.Duration, error) {
			text, err := os.ReadFile(file)
			if err != nil {
				return 0, err
			}
			return time.ParseDuration(string(text))
		},
		logSettings: func(*time.Duration) settings.Log { return settings.Log{Level: "info"} },
		stopTimeout: func(limit *time.Duration) time.Duration { return *limit },
		reload:      func(daemon, time.Duration) []string { return nil },
		start: func(time.Duration, *journal.Journal) (daemon, addresses, error) {
			start()
			return d, addresses{}, nil
		},
	}
	c := kind.command()
	*c.Flags[0].Target.(*string) = file
	assert.NilError(t, c.Run(t.Context(), &table.Env{Out: &out}))
	return out.String(), <-d.stopped
}

// send sends this process a signal and waits until it has been handled.
func send(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.Check(t, syscall.Kill(os.Getpid(), s))
	time.Sleep(signalTime)
}

// writeSettings writes a settings file with the time for a stop.
func writeSettings(t *testing.T, file string, stop time.Duration) {
	t.Helper()
	assert.Check(t, os.WriteFile(file, []byte(stop.String()), 0o600))
}

// Guards against a SIGHUP or SIGTERM that ends a process at once because it comes while the process starts.
func TestSignalsDuringTheStartDoNotEndTheProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, file, stopLimit)
	logged, _ := runIdle(t, file, func() {
		send(t, syscall.SIGHUP)
		send(t, syscall.SIGTERM)
	})
	assert.Assert(t, strings.Contains(logged, `"stopped"`), logged)
}

// Guards against a stop that takes the time of the settings at the start, after which the platform would have killed the process.
func TestReloadedTimeForAStopIsInForce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	writeSettings(t, file, stopLimit)
	_, limit := runIdle(t, file, func() {
		time.AfterFunc(signalTime, func() {
			writeSettings(t, file, stopLimit/2)
			send(t, syscall.SIGHUP)
			send(t, syscall.SIGTERM)
		})
	})
	assert.Assert(t, limit <= stopLimit/2, "%v for the stop", limit)
}
