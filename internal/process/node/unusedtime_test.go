package node_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/node"
)

// Guards against a planned stop that goes on for seconds beside a connection on which nothing was sent, and drops the first request
// on it without an answer.
func TestUnusedConnectionDoesNotDelayAPlannedStop(t *testing.T) {
	const unusedTime, tolerance = time.Second, 700 * time.Millisecond
	f := startTestFleet(t, 1, 0)
	f.waitUntilServing(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stopped, began := make(chan struct{}), time.Now()
	go func() { f.entries[0].Stop(ctx); close(stopped) }()
	time.Sleep(node.DrainDelay - 300*time.Millisecond)
	unused, err := net.Dial("tcp", f.callers[0])
	assert.NilError(t, err)
	defer unused.Close()
	<-stopped
	took := time.Since(began)
	assert.Assert(t, took < node.DrainDelay+unusedTime+tolerance, "the process has ended after %v", took)
}
