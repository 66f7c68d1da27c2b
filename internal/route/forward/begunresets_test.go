package forward_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// Guards against cutting a stream that has begun because an upstream with room has reset a few new connections, on which nothing had
// been sent: its caller has a part of the response and waits for two seconds.
func TestBegunStreamOutlivesResetsOfNewConnections(t *testing.T) {
	const resets = 6
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		lost, full := p.upstream(events(2, false)), p.upstream(events(streamEvents, true))
		var dialled atomic.Int64
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if address == full.address && dialled.Add(1) <= resets {
				return nil, syscall.ECONNRESET
			}
			return p.dial(ctx, address)
		}
		f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(dial), serve: p.serve}, lost)
		f.client = p.client(t)
		f.configureStreams()
		f.limitConnections(10)
		f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1))
		f.refresh()
		got := make(chan reply, 1)
		go func() { got <- f.post(t, "/stream/x") }()
		time.Sleep(10 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1), instanceOf(full, "full", 4))
		f.refresh()
		r := <-got
		assert.NilError(t, r.err)
		assert.Equal(t, r.body, completeStream(streamEvents))
		assert.Equal(t, full.count(), 1)
	})
}
