package forward_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// refuseOnce handles the first request by refusal and the others by s.
func refuseOnce(refusal, s script) script {
	var refused atomic.Bool
	return func(r *http.Request, c net.Conn) bool {
		if refused.CompareAndSwap(false, true) {
			return refusal(r, c)
		}
		return s(r, c)
	}
}

// Guards against cutting a stream that has begun for one refusal because new connections had failed before, on which nothing was sent.
func TestBegunStreamOutlivesARefusalAfterConnectionsThatFailed(t *testing.T) {
	const resets = 3
	for name, refusal := range map[string]script{"no free slot": refuse, "other version": misdirect} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				refusing := refuseOnce(refusal, events(streamEvents, true))
				lost, a, b := p.upstream(events(2, false)), p.upstream(refusing), p.upstream(refusing)
				var dialled atomic.Int64
				dial := func(ctx context.Context, address string) (net.Conn, error) {
					if address != lost.address && dialled.Add(1) <= resets {
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
				f.publisher.PublishUpstreams(instanceOf(lost, "lost", 1), instanceOf(a, "a", 4), instanceOf(b, "b", 4))
				f.refresh()
				r := <-got
				assert.NilError(t, r.err)
				assert.Equal(t, r.body, completeStream(streamEvents))
			})
		})
	}
}
