package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// postToSilent sends a request to path while only the upstream that falls silent is listed, and lists one that refuses all
// requests once it has been sent.
func postToSilent(t *testing.T, path string, s script) reply {
	t.Helper()
	p := withTestPipes(t)
	silent, refusing := p.upstream(s), p.upstream(refuse)
	f := withPipedEntry(t, p)
	f.configureStreams()
	f.publisher.PublishUpstreams(instanceOf(silent, "silent", 4))
	f.refresh()
	replies := make(chan reply, 1)
	go func() { replies <- f.post(t, path) }()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, silent.count(), 1)
	f.publisher.PublishUpstreams(instanceOf(silent, "silent", 4), instanceOf(refusing, "refusing", 4))
	f.refresh()
	return <-replies
}

// Guards against cutting a stream whose upstream is silent for a moment because another one has room by the load that is known
// here, and then refuses it.
func TestStreamOfASilentUpstreamOutlivesARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The upstream must have ended before the test does.
		defer time.Sleep(2 * silence)
		got := postToSilent(t, "/stream/x", pausing(silence))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, completeStream(streamEvents))
	})
}
