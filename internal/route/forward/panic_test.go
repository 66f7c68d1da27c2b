package forward_test

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// panicking is a CallFormat that panics when a request is about to be sent.
type panicking struct{ hub.CallFormat }

func (panicking) UpstreamHeader(http.Header, hub.Attempt) http.Header { panic("no header") }

// Guards against a fault of the program that closes a caller's connection without a response, keeps a slot at the upstream and
// leaves no trace of the request.
func TestRequestIsAnsweredAndLoggedAfterAPanic(t *testing.T) {
	var logged bytes.Buffer
	var set *metrics.Set
	f := withLimitedEntry(t, nil, func(o *forward.Options) {
		o.Format, o.Log, set = panicking{o.Format}, &log.Logger{Writer: &log.IOWriter{Writer: &logged}}, o.Metrics
	}, withTestUpstream(t, respond(200, "done")))
	room := f.roomAt("i0")
	got := f.post(t, "/once/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, f.roomAt("i0"), room)
	f.server.Close()
	assert.Equal(t, set.GetOrCreateCounter("oriolehub_request_panics_total").Get(), uint64(1))
	for _, part := range []string{`"RequestId":"req-1"`, `"Panic":"no header"`, "UpstreamHeader", `"Status":500`} {
		assert.Assert(t, bytes.Contains(logged.Bytes(), []byte(part)), "%s is not in %s", part, logged.String())
	}
}
