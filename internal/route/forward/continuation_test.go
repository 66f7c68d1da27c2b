package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// raw responds with a signed head, further header lines and a body.
func raw(status int, lines, body string) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, status, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)))
		return true
	}
}

const eventStream = "Content-Type: text/event-stream\r\n"

// A stream has begun and breaks off. Whatever the next upstream answers, the caller must receive either the events that
// follow and a complete stream, or a broken response after the events so far.
func TestBrokenStreamGoesOnOnlyWithItsEvents(t *testing.T) {
	wholeAnswer := "HTTP/1.1 503 X\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy\n\n"
	for name, next := range map[string]script{
		"empty":                 raw(200, eventStream, ""),
		"plain text":            raw(200, "Content-Type: text/plain\r\n", "out of memory\n\ntry later\n\n"),
		"plain text as events":  raw(200, eventStream, "out of memory\n\ntry later\n\n"),
		"whole answer":          raw(200, eventStream, wholeAnswer),
		"whole answer, events":  raw(200, eventStream, wholeAnswer+"id: 4\ndata: 4\n\n"),
		"events, whole answer":  raw(200, eventStream, "id: 4\ndata: 4\n\n"+wholeAnswer),
		"no IDs":                raw(200, eventStream, "data: 4\n\ndata: 5\n\n"),
		"from the start":        raw(200, eventStream, completeStream(6)),
		"a gap":                 raw(200, eventStream, "id: 5\ndata: 5\n\n"),
		"error":                 raw(500, "Content-Type: text/plain\r\n", "id: 4\ndata: error\n\n"),
		"error as event stream": raw(500, eventStream, "id: 4\ndata: error\n\n"),
		"refusal":               raw(503, "Not-Run: 1\r\nContent-Type: text/plain\r\n", "id: 4\ndata: full\n\n"),
		"no content":            raw(204, eventStream, ""),
	} {
		t.Run(name, func(t *testing.T) {
			first, second := withTestUpstream(t, events(3, false)), withTestUpstream(t, next)
			f := withTestEntry(t, first)
			// The second upstream is listed once the first has begun to answer.
			go func() {
				for first.count() == 0 {
					time.Sleep(time.Millisecond)
				}
				f.list([]*upstream{first, second}, false)
			}()
			got := f.post(t, "/stream/")
			assert.Assert(t, got.err != nil, "the stream looks complete: %q", got.body)
			assert.Assert(t, strings.HasPrefix(completeStream(6), got.body), "%q", got.body)
		})
	}
}

// A stream whose events have no IDs can't be continued: a second run would repeat its beginning.
func TestStreamWithoutIdsIsNotContinued(t *testing.T) {
	cut := func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 200, eventStream+"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n5\r\ndata:\r\n"))
		return false
	}
	a, b := withTestUpstream(t, cut), withTestUpstream(t, cut)
	f := withTestEntry(t, a, b)
	got := f.post(t, "/stream/")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, "data: 1\n\n")
	assert.Equal(t, a.count()+b.count(), 1)
}

// An upstream may answer a request for a stream with a success that is no stream.
func TestSuccessThatIsNoStreamIsForwardedUnchanged(t *testing.T) {
	body := "first line\n\nsecond line, without an end"
	f := withTestEntry(t, withTestUpstream(t, raw(200, "Content-Type: text/plain\r\n", body)))
	got := f.post(t, "/stream/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, body)
}

// slowEvents streams events at the given interval up to last.
func slowEvents(last int, interval time.Duration) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 200, eventStream+"Transfer-Encoding: chunked\r\n\r\n"))
		for i := 1; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			time.Sleep(interval)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// A stream is slower than its objective but sound, and no other upstream can continue it.
func TestSlowStreamIsNotCutWithoutAnotherUpstream(t *testing.T) {
	f := withTestEntry(t, withTestUpstream(t, slowEvents(4, 1200*time.Millisecond)))
	got := f.post(t, "/stream/")
	assert.NilError(t, got.err, "cut after %q", got.body)
	assert.Equal(t, got.body, completeStream(4))
}

// A stalled upstream sends a byte of an event now and then. Only whole events count as progress, so the stream goes on at
// another upstream, or ends at its deadline if there is none.
func TestStreamOfSingleBytesIsStalled(t *testing.T) {
	trickle := func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, 200, eventStream+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n"))
		for {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	stalled := withTestUpstream(t, trickle)
	f := withTestEntry(t, stalled)
	started := time.Now()
	got := f.post(t, "/stream/")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, completeStream(1))
	assert.Assert(t, time.Since(started) < 10*time.Second, "ended after %v, the limit of the route is 8 s", time.Since(started))

	f = withTestEntry(t, stalled, withTestUpstream(t, events(4, true)))
	for range 4 {
		started = time.Now()
		got = f.post(t, "/stream/")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(4))
		assert.Assert(t, time.Since(started) < 4*time.Second, "continued after %v", time.Since(started))
	}
}
