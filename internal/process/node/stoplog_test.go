package node_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against a request without a line in the log, because its caller does not read and its handler ends with the connection only
// at the end of a planned stop.
func TestRequestThatEndsWithItsConnectionAtAStopIsLogged(t *testing.T) {
	const stopTime = 4 * time.Second
	// Each event contains the ID, so that few of them fill the buffers of the connection.
	id := strings.Repeat("unread", 2000)
	var logged lockedBuffer
	j, err := journal.New(journal.Options{Writer: &logged, Level: "info", Async: true})
	assert.NilError(t, err)
	b, err := testbed.Start(testbed.Options{Places: []deployment.Place{{Domain: "a", Region: "r-a"}}, Entries: 1, Engines: 1, Switch: 3 * time.Second, Journal: j})
	assert.NilError(t, err)
	t.Cleanup(b.Stop)
	entry := b.Addresses[0].Callers
	waitUntil(t, "a request is served", func() bool {
		status, _, err := sendRequest(t, entry, "warm-up")
		return err == nil && status == 200
	})
	b.Vms[0].Engine.SetEvents(1 << 30)
	c, err := net.Dial("tcp", entry)
	assert.NilError(t, err)
	defer c.Close()
	r, err := standin.Request(entry, "POST", standin.Path+"x", id)
	assert.NilError(t, err)
	assert.NilError(t, r.Write(c))
	waitUntil(t, "the stream has begun", func() bool { return b.Vms[0].Engine.Streaming() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	b.Entries[0].Stop(ctx)
	assert.NilError(t, j.Close())
	assert.Assert(t, ctx.Err() == nil, "the stop took too long")
	ended := 0
	for line := range strings.Lines(logged.String()) {
		if strings.Contains(line, "request ended") && strings.Contains(line, id) {
			ended++
			assert.Assert(t, strings.Contains(line, `"Outcome":"cut"`), line)
		}
	}
	assert.Equal(t, ended, 1)
}
