package forward_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// configureStreamsWith is configureStreams with a number of attempts.
func (f *fixture) configureStreamsWith(attempts int) {
	f.publisher.PublishConfiguration(hub.Configuration{
		Version: 2,
		Routes: []hub.Route{{
			Name: "stream", Host: "h.test", PathPrefix: "/stream/", Kind: hub.Stream, Resumable: true, MaxAttempts: attempts,
			Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
			Targets: []hub.Target{{Service: "s", Weight: 1}},
		}},
		Services: []hub.Service{{Name: "s"}},
		Accounts: []hub.Account{{Name: "acme", Keys: []string{"k1"}}},
	})
}

// commentThenSilent responds with a stream of one comment and nothing after it.
func commentThenSilent(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n: wait\n\n\r\n"))
	_, _ = io.Copy(io.Discard, c)
	return false
}

// Guards against a silent stream that waits until its deadline for a continuation that is silent too, while another upstream is free.
func TestStreamIsContinuedElsewhereIfItsContinuationIsSilentToo(t *testing.T) {
	for name, second := range map[string]script{
		"comment":  commentThenSilent,
		"no event": func(r *http.Request, c net.Conn) bool { _, _ = io.Copy(io.Discard, c); return false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				silent, other, sound := p.upstream(pausing(30*time.Second)), p.upstream(second), p.upstream(events(streamEvents, true))
				f := withPipedEntry(t, p)
				f.configureStreamsWith(3)
				f.publisher.PublishUpstreams(instanceOf(silent, "silent", 1))
				f.refresh()
				got := make(chan reply, 1)
				began := time.Now()
				go func() { got <- f.post(t, "/stream/x") }()
				synctest.Wait()
				f.publisher.PublishUpstreams(instanceOf(silent, "silent", 1), instanceOf(other, "other", 1))
				f.refresh()
				time.Sleep(1200 * time.Millisecond)
				assert.Equal(t, other.count(), 1)
				f.publisher.PublishUpstreams(instanceOf(silent, "silent", 1), instanceOf(other, "other", 1), instanceOf(sound, "sound", 1))
				f.refresh()
				r := <-got
				time.Sleep(30 * time.Second)
				assert.NilError(t, r.err, "after %v", time.Since(began))
				assert.Equal(t, r.body, completeStream(streamEvents))
			})
		})
	}
}
