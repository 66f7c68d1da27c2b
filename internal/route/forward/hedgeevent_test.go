package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// startsWith responds with a stream that begins with the given bytes and breaks off.
func startsWith(begin string) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(begin), begin)
		return false
	}
}

// Guards against ending a sound stream that pauses for a continuation that does not go on with its next event.
func TestStreamOutlivesAContinuationWithoutItsNextEvent(t *testing.T) {
	for name, begin := range map[string]string{"comment": ": wait\n\n", "later event": "id: 9\ndata: 9\n\n", "same event": "id: 1\ndata: 1\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				sound, other := p.upstream(pausing(silence)), p.upstream(startsWith(begin))
				f := withPipedEntry(t, p)
				f.configureStreams()
				f.publisher.PublishUpstreams(instanceOf(sound, "sound", 1))
				f.refresh()
				got := make(chan reply, 1)
				go func() { got <- f.post(t, "/stream/x") }()
				synctest.Wait()
				f.publisher.PublishUpstreams(instanceOf(sound, "sound", 1), instanceOf(other, "other", 1))
				f.refresh()
				r := <-got
				assert.NilError(t, r.err)
				assert.Equal(t, r.body, completeStream(streamEvents))
				assert.Equal(t, other.count(), 1)
			})
		})
	}
}
