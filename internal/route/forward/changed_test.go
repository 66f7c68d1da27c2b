package forward_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/duration"
)

// Guards against closing the connection of a probe whose route is removed while it waits for an upstream.
func TestProbeWhoseRouteIsRemovedIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		var once sync.Once
		endFirst := func() { once.Do(func() { close(release) }) }
		p := withTestPipes(t)
		u := p.upstream(func(r *http.Request, c net.Conn) bool {
			<-release
			return respond(200, "done")(r, c)
		})
		f, estimates := withPipedEstimates(t, p)
		t.Cleanup(endFirst)
		configuration := hub.Configuration{
			Version: 2,
			Routes: []hub.Route{{
				Name: "patient", Host: "h.test", PathPrefix: "/patient/", Kind: hub.Idempotent, MaxAttempts: 1,
				Timeout: 10 * time.Second, Objective: 40 * time.Second, Targets: []hub.Target{{Service: "s", Weight: 1}},
			}},
			Services: []hub.Service{{Name: "s"}},
			Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
		}
		f.publisher.PublishConfiguration(configuration)
		f.publisher.PublishUpstreams(hub.Instance{Id: "i0", Service: "s", Address: u.address, Domain: "a", Slots: 1, Born: 1})
		f.refresh()
		first, waiting := make(chan reply, 1), make(chan reply, 1)
		go func() { first <- f.post(t, "/patient/") }()
		synctest.Wait()
		assert.Equal(t, u.count(), 1)
		learn(estimates, "patient", time.Minute)
		go func() { waiting <- f.post(t, "/patient/") }()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(waiting), 0, "the request does not wait")
		configuration.Version, configuration.Routes = 3, nil
		f.publisher.PublishConfiguration(configuration)
		f.refresh()
		endFirst()
		assert.Equal(t, (<-first).status, 200)
		got := <-waiting
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 404)
		assert.Equal(t, estimates.Decide("s", "patient", 0), duration.Probe, "another request may be sent in its place")
		assert.Equal(t, u.count(), 1)
	})
}
