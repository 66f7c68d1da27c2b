package main

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
)

// Guards against a process that a signal ends at once because it comes after the first connection of a caller is accepted and
// before the process listens to signals.
func TestSignalsRightAfterTheStartAreHandled(t *testing.T) {
	const starts = 2
	started, err := cluster.Start(cluster.Options{
		Size: plan.Size{Entries: 1}, Program: cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}, Folder: t.TempDir(),
		Switch: stopTime, OnExit: func(err error) { t.Error(err) },
	})
	assert.NilError(t, err)
	t.Cleanup(started.Stop)
	name := plan.EntryName(0)
	p := started.Processes[name]
	for range starts {
		awaitConnection(t, started.ListenerAddress(name))
		assert.NilError(t, p.Signal(syscall.SIGHUP))
		assert.Assert(t, started.AwaitReady(name, readyTimeout))
		_, err := p.RestartTimed(syscall.SIGTERM, 0)
		assert.NilError(t, err)
		awaitConnection(t, started.ListenerAddress(name))
		stopped, err := p.RestartTimed(syscall.SIGTERM, 0)
		assert.NilError(t, err)
		assert.Assert(t, stopped.Ended.Sub(stopped.Signalled) > time.Second, "the process has not waited for requests: %s", stopped.Ended.Sub(stopped.Signalled))
	}
}

// awaitConnection waits until an address accepts a connection, at once when it does.
func awaitConnection(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = c.Close()
			return
		}
	}
	t.Fatalf("%s accepts no connection", address)
}
