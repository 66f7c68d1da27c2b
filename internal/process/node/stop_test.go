package node_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/node"
)

// addSilentMembers adds members to the list of an entry process that accept connections and answer nothing.
func (f *fleet) addSilentMembers(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		f.entries[0].AddMember(hub.Member{
			Id: fmt.Sprint("silent-", i), Role: hub.RoleEntry, Domain: "a", Region: []string{"r-a", "r-b"}[i%2],
			Address: l.Addr().String(), Incarnation: 1, State: hub.StateServing,
		})
	}
}

// Guards against requests that a stopping process accepts longer than it says, because its neighbours answer slowly.
func TestSilentNeighboursDoNotExtendTheTimeInWhichAStoppingProcessAcceptsRequests(t *testing.T) {
	const tolerance = 150 * time.Millisecond
	f := startTestFleet(t, 1, 0)
	f.waitUntilServing(t)
	c, err := net.Dial("tcp", f.callers[0])
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, sendOn(t, c, f.callers[0], "before").StatusCode, http.StatusOK)
	f.addSilentMembers(t, 20)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stopped, began := make(chan struct{}), time.Now()
	go func() { f.entries[0].Stop(ctx); close(stopped) }()
	time.Sleep(time.Until(began.Add(node.DrainDelay + tolerance)))
	r, err := http.NewRequest(http.MethodGet, "http://"+f.callers[0]+"/nowhere/", nil)
	assert.NilError(t, err)
	if r.Write(c) == nil {
		// An idle connection may have been closed, which refuses the request too.
		resp, err := http.ReadResponse(bufio.NewReader(c), r)
		assert.Assert(t, err != nil || resp.StatusCode == http.StatusServiceUnavailable, "a request was accepted %v after the signal", time.Since(began))
	}
	<-stopped
}
