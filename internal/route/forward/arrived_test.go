package forward_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// arrivedEvents is the number of events of a stream that does not fit into the buffers of its reader.
const arrivedEvents = 2000

// streamToBusyCaller sends a stream to a caller that does not read before release is called. It returns once all of the stream has
// arrived at the process.
func streamToBusyCaller(t *testing.T, upstreams func(written chan<- struct{}) []*upstream, limit func(*forward.Options)) (release func() *recorder) {
	t.Helper()
	var h http.Handler
	written := make(chan struct{}, 1)
	f := withFixtureOptions(t, fixtureOptions{serve: keepHandler(&h), limit: limit}, upstreams(written)...)
	f.extendTimeouts()
	hold, done := make(chan struct{}), make(chan struct{})
	w := newRecorder()
	w.hold = hold
	go func() {
		defer close(done)
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				panic(v)
			}
		}()
		h.ServeHTTP(w, testRequest("/stream/x"))
	}()
	<-written
	time.Sleep(100 * time.Millisecond)
	return func() *recorder {
		close(hold)
		<-done
		return w
	}
}

// thenTell calls s and tells that it has written the response.
func thenTell(written chan<- struct{}, s script) script {
	return func(r *http.Request, c net.Conn) bool {
		defer func() { written <- struct{}{} }()
		return s(r, c)
	}
}

// Guards against streams that are cut at the end of a planned stop, although all of them has arrived: only the caller
// was slow.
func TestStreamThatHasArrivedIsDeliveredAfterTheCut(t *testing.T) {
	stop := forward.NewStop()
	defer stop.Cut()
	release := streamToBusyCaller(t, func(written chan<- struct{}) []*upstream {
		return []*upstream{withTestUpstream(t, thenTell(written, events(arrivedEvents, true)))}
	}, func(o *forward.Options) { o.Stop = stop })
	stop.Cut()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, release().Body.String(), completeStream(arrivedEvents))
}

// Guards against events that are sent to the caller twice, or lost, because a stream is resumed before those are delivered that had
// arrived from the upstream that was lost.
func TestEventsBeforeALossAreDeliveredBeforeTheStreamIsResumed(t *testing.T) {
	continuations := make(chan string, 1)
	release := streamToBusyCaller(t, func(written chan<- struct{}) []*upstream {
		breaks, goesOn := thenTell(written, events(arrivedEvents, false)), events(arrivedEvents+1, true)
		s := func(r *http.Request, c net.Conn) bool {
			last := r.Header.Get("Last-Event-Id")
			if last == "" {
				return breaks(r, c)
			}
			continuations <- last
			return goesOn(r, c)
		}
		return []*upstream{withTestUpstream(t, s), withTestUpstream(t, s)}
	}, nil)
	assert.Equal(t, release().Body.String(), completeStream(arrivedEvents+1))
	assert.Equal(t, <-continuations, strconv.Itoa(arrivedEvents))
}
