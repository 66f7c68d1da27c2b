package node_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that a stopping process reads and drops without an answer, on a connection that was opened before and not
// used until then, while no other request is in progress.
func TestRequestOnAnUnusedConnectionLateInAPlannedStopIsRefused(t *testing.T) {
	const stopTime = 8 * time.Second
	f := startTestFleet(t, 1, 0)
	f.waitUntilServing(t)
	unused, err := net.Dial("tcp", f.callers[0])
	assert.NilError(t, err)
	defer unused.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	stopped := make(chan struct{})
	go func() { f.entries[0].Stop(ctx); close(stopped) }()
	waitUntil(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", f.callers[0])
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	time.Sleep(200 * time.Millisecond)
	resp := sendOn(t, unused, f.callers[0], "late")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	<-stopped
}
