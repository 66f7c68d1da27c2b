package forward_test

import (
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// limitBodies sets the maximum length of the bodies of requests.
func (f *fixture) limitBodies(n int64) {
	c := *f.directory.Current().Configuration
	c.Version++
	c.Limits = hub.RequestLimits{MaxBodyBytes: n}
	f.publisher.PublishConfiguration(c)
	f.refresh()
}

// sendBody begins a request with a body of a length, -1 for an unknown one, and returns the writer of its body and a channel
// with the status of the response.
func (f *fixture) sendBody(t *testing.T, length int64) (*io.PipeWriter, <-chan int) {
	t.Helper()
	body, w := io.Pipe()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/many/x", body)
	assert.NilError(t, err)
	r.Host, r.ContentLength = "h.test", length
	r.Header = http.Header{desired.HeaderKey: {"k1"}, desired.HeaderRequestId: {"req-1"}}
	status := make(chan int, 1)
	go func() {
		resp, err := f.client.Do(r)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	return w, status
}

// Guards against limits out of range in the desired state, with which bodies in chunks were never answered (-1), and with which
// the memory counted as held was wrong for all requests.
func TestBodyLimitsOutOfRange(t *testing.T) {
	f := withLimitedEntry(t, nil, nil, withTestUpstream(t, respond(http.StatusOK, "whole")))
	f.extendTimeouts()
	for _, limit := range []int64{-1, -1000, math.MinInt64, math.MaxInt64} {
		f.limitBodies(limit)
		for _, length := range []int64{-1, 4} {
			w, status := f.sendBody(t, length)
			_, err := io.WriteString(w, "body")
			assert.NilError(t, err)
			assert.NilError(t, w.Close())
			assert.Equal(t, <-status, http.StatusOK, "limit %d, length %d", limit, length)
		}
	}
}

// Guards against bodies of requests, each within the limit, that together exceed the memory of the process.
func TestLongBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	const (
		maxBody = 4 << 20
		// together is the number of the longest bodies that fit into the memory for them.
		together = 16
	)
	f := withLimitedEntry(t, nil, func(o *forward.Options) { o.BodyTimeout = testTimeout }, withTestUpstream(t, respond(http.StatusOK, "whole")))
	f.limitBodies(maxBody)
	f.extendTimeouts()
	finish := func(w *io.PipeWriter, status <-chan int) {
		_, err := w.Write([]byte("x"))
		assert.NilError(t, err)
		assert.NilError(t, w.Close())
		assert.Equal(t, <-status, http.StatusOK)
	}
	var writers []*io.PipeWriter
	var answers []<-chan int
	for range together {
		w, status := f.sendBody(t, maxBody)
		_, err := w.Write(make([]byte, maxBody-1))
		assert.NilError(t, err)
		writers, answers = append(writers, w), append(answers, status)
	}
	for _, length := range []int64{maxBody, -1} {
		w, status := f.sendBody(t, length)
		go func() { _, _ = w.Write(make([]byte, maxBody-1)) }()
		assert.Equal(t, <-status, http.StatusServiceUnavailable, "length %d", length)
	}
	assert.Equal(t, f.post(t, "/many/x").status, http.StatusOK, "a short body")
	finish(writers[0], answers[0])
	w, status := f.sendBody(t, maxBody)
	_, err := w.Write(make([]byte, maxBody-1))
	assert.NilError(t, err)
	finish(w, status)
	for i := 1; i < together; i++ {
		finish(writers[i], answers[i])
	}
}

// Guards against bodies of unknown length that keep as much memory as the longest ones for the time of their requests.
func TestBodiesOfUnknownLengthKeepWhatTheyNeed(t *testing.T) {
	const (
		maxBody  = 4 << 20
		length   = 100 << 10
		requests = 40
	)
	release := make(chan struct{})
	var upstreams []*upstream
	for range 10 {
		upstreams = append(upstreams, withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
			<-release
			return respond(http.StatusOK, "whole")(r, c)
		}))
	}
	f := withTestEntry(t, upstreams...)
	f.limitBodies(maxBody)
	f.extendTimeouts()
	var answers []<-chan int
	for n := range requests {
		w, status := f.sendBody(t, -1)
		_, err := w.Write(make([]byte, length))
		assert.NilError(t, err)
		assert.NilError(t, w.Close())
		answers = append(answers, status)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			running := 0
			for _, u := range upstreams {
				running += u.count()
			}
			if running > n {
				return poll.Success()
			}
			return poll.Continue("%d requests have reached upstreams", running)
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(testTimeout))
	}
	close(release)
	for _, status := range answers {
		assert.Equal(t, <-status, http.StatusOK)
	}
}

// Guards against a smaller limit that ends a request of which a part has been received.
func TestSmallerBodyLimitDoesNotApplyToARequestInProgress(t *testing.T) {
	for _, length := range []int64{600, -1} {
		synctest.Test(t, func(t *testing.T) {
			p := withTestPipes(t)
			f := withPipedEntry(t, p, p.upstream(respond(http.StatusOK, "whole")))
			w, status := f.sendBody(t, length)
			_, err := w.Write(make([]byte, 500))
			assert.NilError(t, err)
			synctest.Wait()
			f.limitBodies(100)
			_, err = w.Write(make([]byte, 100))
			assert.NilError(t, err)
			assert.NilError(t, w.Close())
			assert.Equal(t, <-status, http.StatusOK, "length %d", length)
		})
	}
}
