package forward_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
)

// longBody is the length of a request's body that exceeds the buffers of a connection.
const longBody = 16 << 20

// withTestEarlyUpstream starts an upstream that responds with a head of status 200, more and the part of a body before it has read
// the body of the request, and resets the connection after wait. It returns the number of requests that have reached it.
func withTestEarlyUpstream(t *testing.T, more string, wait time.Duration) (*upstream, *atomic.Int64) {
	t.Helper()
	var requests atomic.Int64
	answer := func(r *http.Request) string {
		requests.Add(1)
		return head(r, http.StatusOK, more)
	}
	s, err := faulty.StartEarly(answer, faulty.ResetAfter(wait))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return &upstream{address: s.Address}, &requests
}

// postLong sends a request with a long body.
func (f *fixture) postLong(t *testing.T, path string) reply {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+path, bytes.NewReader(make([]byte, longBody)))
	assert.NilError(t, err)
	r.Host = "h.test"
	r.Header = http.Header{desired.HeaderKey: {"k1"}, desired.HeaderRequestId: {"req-1"}}
	resp, err := f.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// cutAnswers are the parts of responses without a length that an upstream sends before it resets the connection.
var cutAnswers = map[string]string{
	"plain":       "\r\npart",
	"first event": "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
}

// forEachCutAnswer runs play for each of cutAnswers on each kind of route, with a reset at once and later.
func forEachCutAnswer(t *testing.T, play func(t *testing.T, path, more string, wait time.Duration)) {
	t.Helper()
	for name, more := range cutAnswers {
		for _, path := range []string{"/once/", "/many/", "/stream/"} {
			for _, wait := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s%s%v", name, path, wait), func(t *testing.T) { play(t, path, more, wait) })
			}
		}
	}
}

// Guards against a caller that gets the part of an answer that was sent before a reset as the whole one.
func TestAnswerCutByAResetUnderALongRequestIsNoSuccess(t *testing.T) {
	forEachCutAnswer(t, func(t *testing.T, path, more string, wait time.Duration) {
		u, _ := withTestEarlyUpstream(t, more, wait)
		f := withTestEntry(t, u)
		f.limitBodies(longBody)
		f.extendTimeouts()
		got := f.postLong(t, path)
		assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
	})
}

// Guards against a cut answer that costs the request, although another upstream can answer it or go on with the stream.
func TestRequestWithACutAnswerIsAnsweredElsewhere(t *testing.T) {
	forEachCutAnswer(t, func(t *testing.T, path, more string, wait time.Duration) {
		const last = 3
		want := "whole"
		sound := withTestUpstream(t, func() script {
			if path == "/stream/" && more == cutAnswers["first event"] {
				want = completeStream(last)
				return events(last, true)
			}
			return respond(http.StatusOK, want)
		}())
		u, requests := withTestEarlyUpstream(t, more, wait)
		f := withTestEntry(t, u, sound)
		f.limitBodies(longBody)
		f.extendTimeouts()
		for requests.Load() == 0 {
			got := f.postLong(t, path)
			if path == "/once/" && got.status == http.StatusBadGateway {
				continue
			}
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, want)
		}
	})
}

// Guards against the loss of an early answer that is whole by its length, to a request that its upstream does not read to the end.
func TestWholeAnswerBeforeAResetUnderALongRequestIsForwarded(t *testing.T) {
	for _, path := range []string{"/once/", "/many/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			u, _ := withTestEarlyUpstream(t, "Content-Length: 5\r\n\r\nwhole", 20*time.Millisecond)
			f := withTestEntry(t, u)
			f.limitBodies(longBody)
			f.extendTimeouts()
			got := f.postLong(t, path)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, "whole")
		})
	}
}
