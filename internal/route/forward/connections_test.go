package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// limitConnections publishes a limit of connections for each upstream of the service.
func (f *fixture) limitConnections(limit int) {
	c := *f.directory.Current().Configuration
	c.Version++
	c.Services = []hub.Service{{Name: "s", MaxConnections: limit}}
	f.publisher.PublishConfiguration(c)
	f.refresh()
}

// The number of entry processes that is assumed is too low, and all upstreams reset new connections. Guards against
// retries that follow each other at once, and against a refusal that does not say that the request has not run.
func TestResetsLeadToOneImmediateRetry(t *testing.T) {
	e := ending{accepted: reset}
	var upstreams []*upstream
	for range 6 {
		upstreams = append(upstreams, e.upstream(t))
	}
	var mu sync.Mutex
	var dials []time.Time
	dial := faulty.DialUntilReadable(socket.Dialer(testTimeout))
	pool := channel.New(channel.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		dials = append(dials, time.Now())
		mu.Unlock()
		return dial(ctx, address)
	}})
	f := withTestPool(t, pool, upstreams...)
	f.limitConnections(48)
	got := f.post(t, "/once/")
	assert.Equal(t, got.status, 503, got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, len(dials) > 2 && len(dials) <= 4, "%d attempts", len(dials))
	for i := 2; i < len(dials); i++ {
		assert.Assert(t, dials[i].Sub(dials[i-1]) >= 50*time.Millisecond, "attempt %d after %v", i, dials[i].Sub(dials[i-1]))
	}
}

// Guards against a request that is refused, or overruns an upstream, because the share of connections is in use for a short
// time.
func TestRequestWaitsForAConnection(t *testing.T) {
	var mu sync.Mutex
	running, highest := 0, 0
	u := withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
		mu.Lock()
		running++
		highest = max(highest, running)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		return respond(200, "done")(r, c)
	})
	pool := channel.New(channel.Options{Dial: socket.Dialer(testTimeout), Entries: func() int { return 12 }})
	f := withTestPool(t, pool, u)
	f.limitConnections(26)
	assert.Equal(t, pool.Allowed(u.address, 26), 2)
	var done sync.WaitGroup
	for i := range 6 {
		// A request without an ID requires a new connection.
		id := []string{fmt.Sprint("req-", i), ""}[i%2]
		done.Go(func() {
			got := f.call(context.Background(), t, http.MethodPost, "/many/", http.Header{desired.HeaderRequestId: {id}})
			if got.err != nil || got.status != 200 {
				t.Errorf("status %d, %v, %q", got.status, got.err, got.body)
			}
		})
	}
	done.Wait()
	assert.Assert(t, highest <= 2, "%d requests at once", highest)
}
