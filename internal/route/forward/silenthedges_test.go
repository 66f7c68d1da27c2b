package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// breaksAfter responds with the first event of a stream and breaks off after d.
func breaksAfter(d time.Duration) script {
	return func(r *http.Request, c net.Conn) bool {
		const e = "id: 1\ndata: 1\n\n"
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		time.Sleep(d)
		return false
	}
}

// postStream sends a request for a stream of up to attempts to first, and lists the others one second apart once it has been sent.
func postStream(t *testing.T, attempts int, first script, others ...script) (got reply, upstreams []*upstream) {
	t.Helper()
	p := withTestPipes(t)
	for _, s := range append([]script{first}, others...) {
		upstreams = append(upstreams, p.upstream(s))
	}
	f := withPipedEntry(t, p)
	f.configureStreamsWith(attempts)
	list := []hub.Instance{instanceOf(upstreams[0], "u0", 4)}
	f.publisher.PublishUpstreams(list...)
	f.refresh()
	replies := make(chan reply, 1)
	go func() { replies <- f.post(t, "/stream/x") }()
	synctest.Wait()
	for i, u := range upstreams[1:] {
		list = append(list, instanceOf(u, fmt.Sprintf("u%d", i+1), 4))
		f.publisher.PublishUpstreams(list...)
		f.refresh()
		time.Sleep(time.Second)
	}
	return <-replies, upstreams
}

// Guards against a stream that waits for a silent continuation until its deadline after its first upstream has broken off.
func TestBrokenStreamIsContinuedElsewhereIfItsContinuationIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, upstreams := postStream(t, 3, breaksAfter(1500*time.Millisecond), commentThenSilent, events(streamEvents, true))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(streamEvents))
		assert.Equal(t, upstreams[2].count(), 1)
	})
}

// Guards against ending a continuation that is silent for a moment because another one has been sent.
func TestContinuationOutlivesTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, upstreams := postStream(t, 3, pausing(30*time.Second), after(silence, events(streamEvents, true)), commentThenSilent)
		time.Sleep(30 * time.Second)
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(streamEvents))
		assert.Equal(t, upstreams[2].count(), 1)
	})
}

// Guards against more runs than a route allows, or without one left for a retry, while all upstreams are silent.
func TestSilentStreamRunsNoMoreOftenThanAllowed(t *testing.T) {
	for attempts, want := range map[int]int{1: 1, 2: 2, 3: 3, 10: 3} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, upstreams := postStream(t, attempts, pausing(7*time.Second), commentThenSilent, commentThenSilent, commentThenSilent, commentThenSilent)
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, completeStream(streamEvents))
				runs := 0
				for _, u := range upstreams {
					runs += u.count()
				}
				assert.Equal(t, runs, want)
			})
		})
	}
}

// Guards against two runs of a stream at the same silent upstream.
func TestSilentContinuationIsNotSentTwiceToAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, upstreams := postStream(t, 3, pausing(7*time.Second), commentThenSilent)
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(streamEvents))
		assert.Equal(t, upstreams[1].count(), 1)
	})
}

// Guards against a run too many for a stream whose upstream breaks off while a continuation waits for room.
func TestStreamThatBreaksOffWhileItWaitsRunsNoMoreOftenThanAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		broken, a, b := p.upstream(breaksAfter(910*time.Millisecond)), p.upstream(commentThenSilent), p.upstream(commentThenSilent)
		f := withPipedEntry(t, p)
		f.configureStreamsWith(2)
		f.publisher.PublishUpstreams(instanceOf(broken, "broken", 1))
		f.refresh()
		replies := make(chan reply, 1)
		go func() { replies <- f.post(t, "/stream/x") }()
		time.Sleep(960 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(broken, "broken", 1), instanceOf(a, "a", 1), instanceOf(b, "b", 1))
		f.refresh()
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, a.count()+b.count(), 1)
		<-replies
		assert.Equal(t, a.count()+b.count(), 1)
	})
}
