package admin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/journal"
)

// Guards against a stop that takes all of its time for a connection on which nothing was sent, so that the process is killed before
// it has written its log.
func TestCloseDoesNotWaitForAnUnusedConnection(t *testing.T) {
	const limit, stopTime = 2 * time.Second, 30 * time.Second
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := Start(inner, 4, metrics.NewSet(), journal.Discard().Logger(journal.Process), func() error { return nil })
	assert.NilError(t, err)
	c, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), stopTime)
	defer cancel()
	began := time.Now()
	s.Close(ctx)
	assert.Assert(t, time.Since(began) < limit, "closed after %v", time.Since(began))
}
