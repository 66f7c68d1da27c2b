package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

// taken returns the number of slots that are taken at the upstreams of service s.
func (f *fixture) taken() int {
	var choices []placement.Choice
	seen, n := map[string]bool{}, 0
	for {
		c, ok := f.placement.Choose(&placement.Requirements{Service: "s"})
		if !ok {
			break
		}
		choices = append(choices, c)
		if !seen[c.Upstream.Id] {
			seen[c.Upstream.Id] = true
			n += c.Running
		}
	}
	for i := range choices {
		choices[i].Release()
	}
	return n
}

// Guards against 502 for a request whose late upstream answers, because another one has refused it meanwhile.
func TestLateResponseOutlivesARefusedHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		late, refusing := p.upstream(after(silence, respond(200, "done"))), p.upstream(refuse)
		f := withPipedEntry(t, p)
		f.publisher.PublishUpstreams(instanceOf(late, "late", 4))
		f.refresh()
		replies := make(chan reply, 1)
		go func() { replies <- f.post(t, "/slow/x") }()
		time.Sleep(50 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(late, "late", 4), instanceOf(refusing, "refusing", 4))
		f.refresh()
		got := <-replies
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, late.count(), 1)
		assert.Assert(t, refusing.count() > 0)
	})
}

// Guards against a stream with missing or repeated events if its silent upstream goes on at the moment at which another one
// accepts it.
func TestStreamIsWholeIfBothUpstreamsGoOn(t *testing.T) {
	const (
		moveAfter = 900 * time.Millisecond
		// rounds suffice to meet both orders of the two.
		rounds = 1000
	)
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			p := withTestPipes(t)
			silent, other := p.upstream(pausing(silence)), p.upstream(after(silence-moveAfter, events(streamEvents, true)))
			f := withPipedEntry(t, p)
			f.configureStreams()
			f.publisher.PublishUpstreams(instanceOf(silent, "silent", 4))
			f.refresh()
			replies := make(chan reply, 1)
			go func() { replies <- f.post(t, "/stream/x") }()
			time.Sleep(50 * time.Millisecond)
			f.publisher.PublishUpstreams(instanceOf(silent, "silent", 4), instanceOf(other, "other", 4))
			f.refresh()
			got := <-replies
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, completeStream(streamEvents))
			assert.Equal(t, other.count(), 1)
			time.Sleep(time.Second)
			assert.Equal(t, f.taken(), 0)
		})
	}
}

// panicsLater is a CallFormat that panics when a request is about to be sent for the second time.
type panicsLater struct {
	hub.CallFormat
	sent *atomic.Int32
}

func (p panicsLater) UpstreamHeader(h http.Header, a hub.Attempt) http.Header {
	if p.sent.Add(1) == 2 {
		panic("no header")
	}
	return p.CallFormat.UpstreamHeader(h, a)
}

// Guards against a process that ends because a hedge panics, which runs in a goroutine of its own.
func TestPanicOfAHedgeDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		late, other := p.upstream(after(silence, respond(200, "done"))), p.upstream(after(silence, respond(200, "done")))
		var h http.Handler
		f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h), limit: func(o *forward.Options) {
			o.Format = panicsLater{o.Format, new(atomic.Int32)}
		}}, late, other)
		w := newRecorder()
		h.ServeHTTP(w, testRequest("/slow/x"))
		assert.Equal(t, w.Code, 200)
		time.Sleep(time.Second)
		assert.Equal(t, f.taken(), 0)
	})
}

// Guards against cutting a stream whose events have all been forwarded, because another upstream continues it without an event.
func TestCompleteStreamOutlivesAnEmptyContinuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lingering := func(r *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
			e := completeStream(streamEvents)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			time.Sleep(silence)
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		}
		p := withTestPipes(t)
		silent, other := p.upstream(lingering), p.upstream(events(streamEvents, true))
		f := withPipedEntry(t, p)
		f.configureStreams()
		f.publisher.PublishUpstreams(instanceOf(silent, "silent", 4))
		f.refresh()
		replies := make(chan reply, 1)
		go func() { replies <- f.post(t, "/stream/x") }()
		time.Sleep(50 * time.Millisecond)
		f.publisher.PublishUpstreams(instanceOf(silent, "silent", 4), instanceOf(other, "other", 4))
		f.refresh()
		got := <-replies
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(streamEvents))
		assert.Equal(t, other.count(), 1)
	})
}
