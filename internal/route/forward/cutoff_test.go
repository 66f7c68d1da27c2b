package forward_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that a stopping process accepts and cuts, because their responses take longer than it goes on.
func TestRequestThatAStopIsLikelyToCutIsRefusedAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		// cutoff is the time until streams are cut, 0 for a process that does not stop.
		cutoff time.Duration
		wait   string
		status int
	}{
		"process does not stop":        {0, "7000", http.StatusOK},
		"enough time":                  {3 * time.Second, "7000", http.StatusOK},
		"too little time":              {time.Second, "7000", http.StatusServiceUnavailable},
		"caller waits no longer":       {2800 * time.Millisecond, "2700", http.StatusOK},
		"caller waits a little longer": {2400 * time.Millisecond, "2700", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				u := p.upstream(respond(http.StatusOK, "done"))
				f, stop, estimates := withStop(t, p, u)
				learn(estimates, "many", 2500*time.Millisecond)
				if tc.cutoff > 0 {
					stop.Begin(time.Now().Add(tc.cutoff))
				}
				began := time.Now()
				got := f.postWithin(t, "/many/x", tc.wait)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, tc.status, got.body)
				if tc.status == http.StatusOK {
					return
				}
				assert.Equal(t, time.Since(began), time.Duration(0))
				assert.Equal(t, u.count(), 0)
				assert.Equal(t, got.header.Get("Retry-After"), "0.050")
				assert.Assert(t, strings.HasPrefix(got.body, "process is stopping"), got.body)
			})
		})
	}
}

// Guards against further attempts that a stop cuts: the upstream of the first one is lost after the stop has begun.
func TestRequestIsNotSentAgainIfAStopIsLikelyToCutIt(t *testing.T) {
	for _, cutoff := range []time.Duration{time.Second, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			p := withTestPipes(t)
			lost, other := p.upstream(after(100*time.Millisecond, drop)), p.upstream(respond(http.StatusOK, "done"))
			f, stop, estimates := withStop(t, p)
			f.publisher.PublishUpstreams(instanceOf(lost, "lost", 4))
			f.refresh()
			replies := make(chan reply, 1)
			go func() { replies <- f.post(t, "/many/x") }()
			time.Sleep(50 * time.Millisecond)
			f.publisher.PublishUpstreams(instanceOf(lost, "lost", 4), instanceOf(other, "other", 4))
			f.refresh()
			learn(estimates, "many", 2*time.Second)
			stop.Begin(time.Now().Add(cutoff))
			got := <-replies
			if cutoff > 2*time.Second {
				assert.Equal(t, got.status, http.StatusOK)
				return
			}
			assert.Equal(t, got.status, http.StatusBadGateway, got.body)
			assert.Equal(t, other.count(), 0)
		})
	}
}
