package forward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// interruptedWaits starts two requests, of which the first holds the memory that the second waits for, interrupts the second
// and returns its response. It fails the test if the response comes later than the interruption.
func interruptedWaits(t *testing.T, memory forward.Memory, pool *channel.Pool, upstreams []*upstream, first, second func(h http.Handler, w *recorder)) *recorder {
	t.Helper()
	stop := forward.NewStop()
	defer stop.Cut()
	var h http.Handler
	f := withFixtureOptions(t, fixtureOptions{pool: pool, serve: keepHandler(&h), limit: func(o *forward.Options) {
		o.Memory, o.Stop = memory, stop
	}}, upstreams...)
	f.limitBodies(1 << 20)
	go first(h, newRecorder())
	synctest.Wait()
	w, done := newRecorder(), make(chan struct{})
	go func() { defer close(done); second(h, w) }()
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	select {
	case <-done:
		t.Fatalf("the request did not wait for memory: status %d, %q", w.Code, w.Body.String())
	default:
	}
	began := time.Now()
	stop.Interrupt()
	<-done
	assert.Equal(t, time.Since(began), time.Duration(0), "the wait for memory went on after the requests had been interrupted")
	return w
}

// Guards against waits for the memory for a body that use up the time in which an ending process responds to its callers.
func TestWaitForRequestMemoryEndsWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 200 << 10
		body, writer := io.Pipe()
		defer writer.Close()
		post := func(body io.Reader) func(http.Handler, *recorder) {
			return func(h http.Handler, w *recorder) {
				r := testRequest("/many/x")
				r.Body, r.ContentLength = io.NopCloser(body), length
				h.ServeHTTP(w, r)
			}
		}
		p := withTestPipes(t)
		u := p.upstream(respond(http.StatusOK, "done"))
		w := interruptedWaits(t, forward.Memory{Requests: length + length/2}, channel.NewPool(p.dial), []*upstream{u},
			post(body), post(strings.NewReader(strings.Repeat("x", length))))
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Body.String(), "process is stopping\n")
		assert.Equal(t, u.count(), 0)
	})
}

// Guards against waits for the memory for a response that use up the time in which an ending process responds to its callers.
func TestWaitForResponseMemoryEndsWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 200 << 10
		release := make(chan struct{})
		defer close(release)
		post := func(hold <-chan struct{}) func(http.Handler, *recorder) {
			return func(h http.Handler, w *recorder) {
				w.hold = hold
				h.ServeHTTP(w, testRequest("/many/x"))
			}
		}
		p := withTestPipes(t)
		u := p.upstream(respond(http.StatusOK, strings.Repeat("x", length)))
		w := interruptedWaits(t, forward.Memory{Responses: length + length/2}, channel.NewPool(p.dial), []*upstream{u}, post(release), post(nil))
		assert.Equal(t, w.Code, http.StatusGatewayTimeout)
		assert.Equal(t, w.Body.String(), "process is stopping\n")
	})
}
