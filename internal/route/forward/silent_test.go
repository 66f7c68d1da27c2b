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

// Guards against streams that are ended at a silent upstream although another one has room for only some of them.
func TestStreamsOfASilentUpstreamAreCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		silent, other := p.upstream(pausing(silence)), p.upstream(pausing(4*time.Second))
		f := withPipedEntry(t, p)
		route := hub.Route{
			Name: "stream", Host: "h.test", PathPrefix: "/stream/", Kind: hub.Stream, Resumable: true, MaxAttempts: 2,
			Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
			Targets: []hub.Target{{Service: "s", Weight: 1}},
		}
		f.publisher.PublishConfiguration(hub.Configuration{
			Version: 2, Routes: []hub.Route{route}, Services: []hub.Service{{Name: "s"}},
			Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
		})
		const streams = 4
		instance := func(u *upstream, id string, slots int) hub.Instance {
			return hub.Instance{Id: id, Service: "s", Address: u.address, Domain: "a", Slots: slots, Born: 1}
		}
		f.publisher.PublishUpstreams(instance(silent, "silent", streams))
		f.refresh()
		replies := make(chan reply, streams)
		for range streams {
			go func() { replies <- f.post(t, "/stream/x") }()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, silent.count(), streams)
		f.publisher.PublishUpstreams(instance(silent, "silent", streams), instance(other, "other", 1))
		f.refresh()
		for range streams {
			got := <-replies
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, completeStream(streamEvents))
		}
		assert.Assert(t, other.count() <= 1, "%d streams continued at an upstream with one slot", other.count())
	})
}
