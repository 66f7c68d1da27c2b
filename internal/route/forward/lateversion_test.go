package forward_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Guards against a request that was sent before a newer version was named and begins past that version's bound.
func TestRequestSentBeforeAVersionWasNamedDoesNotOutlastItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 3 * time.Second
		p := withTestPipes(t)
		var ended atomic.Int64
		began := time.Now()
		queueing := p.upstream(func(_ *http.Request, c net.Conn) bool {
			_, _ = c.Read(make([]byte, 1))
			ended.Store(int64(time.Since(began)))
			return false
		})
		f, placed, h := withVersionedEntry(t, p, bound)
		f.publisher.PublishUpstreams(engineOf(queueing, "queueing"))
		refresh := func() { f.refresh(); placed.Refresh() }
		refresh()
		done := make(chan struct{})
		go func() { h.ServeHTTP(newRecorder(), testRequest("/stream/x")); close(done) }()
		time.Sleep(100 * time.Millisecond)
		f.publisher.PublishDirectives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		refresh()
		<-done
		time.Sleep(bound)
		took := time.Duration(ended.Load())
		assert.Assert(t, took > 0 && took <= bound+100*time.Millisecond, "%v", took)
	})
}
