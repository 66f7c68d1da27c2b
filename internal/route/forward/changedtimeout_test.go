package forward_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against a request that is admitted again by a newer configuration and ends by the timeout of the older one.
func TestShorterTimeoutAppliesToAWaitingRequest(t *testing.T) {
	const before, after = 10 * time.Second, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		// The upstream must end with the test.
		defer time.Sleep(2 * before)
		p := withTestPipes(t)
		first := make(chan struct{}, 1)
		first <- struct{}{}
		release := make(chan struct{})
		u := p.upstream(func(r *http.Request, c net.Conn) bool {
			select {
			case <-first:
				<-release
				return respond(http.StatusOK, "done")(r, c)
			default:
				time.Sleep(2 * before)
				return false
			}
		})
		f := withPipedEntry(t, p)
		configure := func(version uint64, timeout time.Duration) {
			f.publisher.PublishConfiguration(hub.Configuration{
				Version: version,
				Routes: []hub.Route{{
					Name: "patient", Host: "h.test", PathPrefix: "/patient/", Kind: hub.AtMostOnce, MaxAttempts: 1,
					Timeout: timeout, Objective: 4 * time.Second, Targets: []hub.Target{{Service: "s", Weight: 1}},
				}},
				Services: []hub.Service{{Name: "s"}},
				Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
			})
			f.refresh()
		}
		configure(2, before)
		f.publisher.PublishUpstreams(instanceOf(u, "i0", 1))
		f.refresh()
		served, waiting := make(chan reply, 1), make(chan reply, 1)
		go func() { served <- f.post(t, "/patient/") }()
		synctest.Wait()
		began := time.Now()
		go func() { waiting <- f.post(t, "/patient/") }()
		time.Sleep(100 * time.Millisecond)
		configure(3, after)
		close(release)
		assert.Equal(t, (<-served).status, http.StatusOK)
		got := <-waiting
		assert.Equal(t, u.count(), 2)
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Assert(t, time.Since(began) <= after+100*time.Millisecond, "ended after %v", time.Since(began))
	})
}
