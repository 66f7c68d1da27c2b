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

// Guards against a stream that is not continued from a silent upstream because new connections, on which nothing was sent, were reset
// before.
func TestSilentStreamIsContinuedAfterResetsOfNewConnections(t *testing.T) {
	for _, resets := range []int64{0, 1, 3} {
		synctest.Test(t, func(t *testing.T) {
			p := withTestPipes(t)
			lost, silent, sound := p.upstream(events(1, false)), p.upstream(pausing(30*time.Second)), p.upstream(events(streamEvents, true))
			var dialled atomic.Int64
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				if address == silent.address && dialled.Add(1) <= resets {
					return nil, syscall.ECONNRESET
				}
				return p.dial(ctx, address)
			}
			f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(dial), serve: p.serve}, lost)
			f.client = p.client(t)
			f.configureStreamsWith(3)
			f.refresh()
			f.limitConnections(10)
			f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1))
			f.refresh()
			got := make(chan reply, 1)
			go func() { got <- f.post(t, "/stream/x") }()
			time.Sleep(10 * time.Millisecond)
			f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1), instanceOf(silent, "silent", 4))
			f.refresh()
			time.Sleep(600 * time.Millisecond)
			assert.Equal(t, silent.count(), 1)
			f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1), instanceOf(silent, "silent", 4), instanceOf(sound, "sound", 4))
			f.refresh()
			r := <-got
			time.Sleep(30 * time.Second)
			assert.NilError(t, r.err, "%d resets", resets)
			assert.Equal(t, r.body, completeStream(streamEvents))
		})
	}
}
