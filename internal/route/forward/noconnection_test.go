package forward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// probe marks the context of a probe of an upstream.
type probe struct{}

// Guards against an upstream that counts as failed because this process has no connection to it left: requests would avoid
// an upstream that is sound, or be refused where there is no other. Counted as neither failed nor refused, it would be chosen
// for all attempts of a request at once.
func TestUpstreamWithoutAFreeConnectionCountsAsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const accepted, entries = 26, 12
		p := withTestPipes(t)
		near, far := p.upstream(respond(http.StatusOK, "near")), p.upstream(respond(http.StatusOK, "far"))
		probed := make(chan struct{})
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if ctx.Value(probe{}) != nil {
				<-probed
			}
			return p.dial(ctx, address)
		}
		pool := channel.New(channel.Options{Entries: func() int { return entries }, Dial: dial})
		var h http.Handler
		f := withFixtureOptions(t, fixtureOptions{pool: pool, serve: keepHandler(&h)}, near)
		f.limitConnections(accepted)
		// Probes of the upstream take all connections that this process may have. Requests do not know of them.
		for range pool.Allowed(near.address, accepted) {
			go func() { _ = pool.Probe(context.WithValue(t.Context(), probe{}, true), near.address) }()
		}
		synctest.Wait()
		w, done := newRecorder(), make(chan struct{})
		go func() { defer close(done); h.ServeHTTP(w, testRequest("/many/x")) }()
		time.Sleep(30 * time.Millisecond)
		synctest.Wait()
		close(probed)
		<-done
		assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
		assert.Equal(t, w.Body.String(), "near")

		f.publisher.PublishUpstreams(
			hub.Instance{Id: "i0", Service: "s", Address: near.address, Domain: "a", Slots: 4, Born: 1},
			hub.Instance{Id: "i1", Service: "s", Address: far.address, Domain: "b", Slots: 4, Born: 2},
		)
		f.refresh()
		w = newRecorder()
		h.ServeHTTP(w, testRequest("/many/x"))
		assert.Equal(t, w.Body.String(), "near", "the upstream is avoided as if it had failed")
	})
}
