package commands

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// stopLimit exceeds the time that a test takes.
	stopLimit = time.Minute
	// signalTime exceeds the time until a signal has been handled.
	signalTime = 200 * time.Millisecond
)

// stopAndSend begins a stop, sends this process a signal during it and returns the state of the stop's context some time later.
func stopAndSend(t *testing.T, s syscall.Signal) error {
	t.Helper()
	begin, cancel := context.WithCancel(context.Background())
	cancel()
	signals, stop := notify(os.Interrupt, syscall.SIGTERM)
	defer stop()
	var sent, state error
	stopOnSignal(begin, signals, func() time.Duration { return stopLimit }, func(ctx context.Context) {
		sent = syscall.Kill(os.Getpid(), s)
		time.Sleep(signalTime)
		state = ctx.Err()
	})
	assert.NilError(t, sent)
	return state
}

// Guards against a second SIGTERM that ends a process at once and so cuts the requests in progress.
func TestFurtherSignalsDoNotCutAPlannedStop(t *testing.T) {
	assert.NilError(t, stopAndSend(t, syscall.SIGTERM))
}

// Guards against operators who must wait for the end of a stop at a terminal.
func TestInterruptShortensAPlannedStop(t *testing.T) {
	assert.Assert(t, errors.Is(stopAndSend(t, syscall.SIGINT), context.Canceled))
}
