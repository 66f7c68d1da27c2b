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

const (
	// silence exceeds the time after which a stream is continued at another upstream.
	silence = 1200 * time.Millisecond
	// streamEvents is the number of events of the streams of pausing.
	streamEvents = 3
)

// pausing streams the events up to streamEvents, starting after the request's Last-Event-Id, and is silent for the given time
// after the first of them.
func pausing(d time.Duration) script {
	return func(r *http.Request, c net.Conn) bool {
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := first; i <= streamEvents; i++ {
			e := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
			if i == first {
				time.Sleep(d)
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// configureStreams publishes a route of streams that may be continued, for which a new request waits for 100 ms.
func (f *fixture) configureStreams() {
	f.publisher.PublishConfiguration(hub.Configuration{
		Version: 2,
		Routes: []hub.Route{{
			Name: "stream", Host: "h.test", PathPrefix: "/stream/", Kind: hub.Stream, Resumable: true, MaxAttempts: 2,
			Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
			Targets: []hub.Target{{Service: "s", Weight: 1}},
		}},
		Services: []hub.Service{{Name: "s"}},
		Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
	})
}

// instanceOf lists u with a number of slots.
func instanceOf(u *upstream, id string, slots int) hub.Instance {
	return hub.Instance{Id: id, Service: "s", Address: u.address, Domain: "a", Slots: slots, Born: 1}
}

// Guards against streams that are ended at a silent upstream although another one has room for only some of them.
func TestStreamsOfASilentUpstreamAreCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		silent, other := p.upstream(pausing(silence)), p.upstream(pausing(4*time.Second))
		f := withPipedEntry(t, p)
		f.configureStreams()
		const streams = 4
		f.publisher.PublishUpstreams(instanceOf(silent, "silent", streams))
		f.refresh()
		replies := make(chan reply, streams)
		for range streams {
			go func() { replies <- f.post(t, "/stream/x") }()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, silent.count(), streams)
		f.publisher.PublishUpstreams(instanceOf(silent, "silent", streams), instanceOf(other, "other", 1))
		f.refresh()
		for range streams {
			got := <-replies
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, completeStream(streamEvents))
		}
		assert.Assert(t, other.count() <= 1, "%d streams continued at an upstream with one slot", other.count())
	})
}

// Guards against cutting a stream whose upstream is lost while all others are busy for a moment: its caller has a part of the
// response and waits longer than a new request may.
func TestBegunStreamWaitsForABusyUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		lost, busy := p.upstream(events(2, false)), p.upstream(pausing(600*time.Millisecond))
		f := withPipedEntry(t, p)
		f.configureStreams()
		f.publisher.PublishUpstreams(instanceOf(busy, "busy", 1))
		f.refresh()
		first, second := make(chan reply, 1), make(chan reply, 1)
		go func() { first <- f.post(t, "/stream/x") }()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, busy.count(), 1)
		f.publisher.PublishUpstreams(instanceOf(busy, "busy", 1), instanceOf(lost, "lost", 1))
		f.refresh()
		go func() { second <- f.post(t, "/stream/y") }()
		for _, replies := range []chan reply{first, second} {
			got := <-replies
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, completeStream(streamEvents))
		}
		assert.Equal(t, lost.count(), 1)
	})
}

// Guards against a stream that waits for an upstream although none may run it, before all new requests of its service.
func TestBegunStreamWithoutAnUpstreamEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		f := withPipedEntry(t, p)
		f.configureStreams()
		f.publisher.PublishUpstreams(instanceOf(p.upstream(events(2, false)), "lost", 1))
		f.refresh()
		began := time.Now()
		assert.Assert(t, f.post(t, "/stream/x").err != nil)
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond, time.Since(began))
	})
}
