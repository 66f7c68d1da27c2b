package forward_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// refuseFor returns a script that refuses requests for d from now and then handles them by s.
func refuseFor(d time.Duration, s script) script {
	end := time.Now().Add(d)
	return func(r *http.Request, c net.Conn) bool {
		if time.Now().Before(end) {
			return refuse(r, c)
		}
		return s(r, c)
	}
}

// Guards against hedges for a request whose response is complete while its caller is slow to read it.
func TestNoHedgeWhileTheCallerReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		first, other := p.upstream(respond(200, "done")), p.upstream(respond(200, "done"))
		var h http.Handler
		withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h)}, first, other)
		w, hold := newRecorder(), make(chan struct{})
		w.hold = hold
		time.AfterFunc(time.Second, func() { close(hold) })
		h.ServeHTTP(w, testRequest("/slow/x"))
		assert.Equal(t, w.Code, 200)
		assert.Equal(t, first.count()+other.count(), 1)
	})
}

// Guards against 502 for a request whose upstream is lost after another one has refused hedges and before it has room.
func TestLateRequestIsRetriedAfterRefusedHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		lost, busy := p.upstream(after(800*time.Millisecond, drop)), p.upstream(refuseFor(700*time.Millisecond, respond(200, "done")))
		f := withPipedEntry(t, p)
		f.publisher.PublishUpstreams(instanceOf(lost, "lost", 4))
		f.refresh()
		replies := make(chan reply, 1)
		go func() { replies <- f.post(t, "/slow/x") }()
		time.Sleep(50 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(lost, "lost", 4), instanceOf(busy, "busy", 4))
		f.refresh()
		got := <-replies
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
	})
}

// Guards against a slot that stays taken after its attempt has failed, while a hedge awaits its response.
func TestFailedAttemptFreesItsSlotWhileAHedgeIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		failing, other := p.upstream(after(300*time.Millisecond, respond(500, "failed"))), p.upstream(after(time.Second, respond(200, "done")))
		f := withPipedEntry(t, p)
		f.publisher.PublishUpstreams(instanceOf(failing, "failing", 4))
		f.refresh()
		replies := make(chan reply, 1)
		go func() { replies <- f.post(t, "/slow/x") }()
		time.Sleep(50 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(failing, "failing", 4), instanceOf(other, "other", 4))
		f.refresh()
		time.Sleep(550 * time.Millisecond)
		assert.Equal(t, other.count(), 1)
		assert.Equal(t, f.taken(), 1)
		assert.Equal(t, (<-replies).status, 200)
	})
}

// Guards against hedges that are sent before it is known whether the upstream of the failed attempt has crashed.
func TestNoHedgeBeforeACrashIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTimeout = 300 * time.Millisecond
		p := withTestPipes(t)
		began := time.Now()
		var hedgedAt time.Duration
		lost := p.upstream(after(140*time.Millisecond, drop))
		other := p.upstream(func(r *http.Request, c net.Conn) bool {
			hedgedAt = time.Since(began)
			return respond(200, "done")(r, c)
		})
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if address == lost.address && time.Since(began) > 120*time.Millisecond {
				time.Sleep(dialTimeout)
				return nil, syscall.ECONNREFUSED
			}
			return p.dial(ctx, address)
		}
		var h http.Handler
		f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(dial), serve: keepHandler(&h)}, lost)
		w, done := newRecorder(), make(chan struct{})
		go func() { h.ServeHTTP(w, testRequest("/slow/x")); close(done) }()
		time.Sleep(50 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(lost, "i0", 4), instanceOf(other, "other", 4))
		f.refresh()
		<-done
		assert.Equal(t, w.Code, 200)
		assert.Assert(t, hedgedAt >= 140*time.Millisecond+dialTimeout, "%v", hedgedAt)
	})
}
