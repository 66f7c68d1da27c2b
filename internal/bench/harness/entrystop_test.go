package harness

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that a stopping entry process reads and drops without an answer.
func TestRequestOnAnUnusedConnectionToAStoppingEntryIsRefused(t *testing.T) {
	h := withTestHarness(t, func(o *Options) { o.Vms, o.ServiceVms = 0, 0 })
	address := h.Entries[0].HttpAddress()
	unused, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer unused.Close()
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	stopped := make(chan struct{})
	go func() { h.Entries[0].Stop(ctx); close(stopped) }()
	time.Sleep(200 * time.Millisecond)
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/ticket-desk/tickets", http.NoBody)
	assert.NilError(t, err)
	assert.NilError(t, r.Write(unused))
	resp, err := http.ReadResponse(bufio.NewReader(unused), r)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	<-stopped
}
