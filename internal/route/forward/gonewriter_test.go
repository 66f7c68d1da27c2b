package forward_test

import (
	"net/http"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// unreadResponse is a response of which the caller reads the first part only. Further writes time out.
type unreadResponse struct {
	*recorder
	parts int
}

func (w *unreadResponse) Write(p []byte) (int, error) {
	if w.parts++; w.parts > 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return w.recorder.Write(p)
}

// Guards against callers that do not read their streams counting as failures of the upstreams, and against sending their requests
// to further upstreams.
func TestUnreadStreamIsNoFailureOfTheUpstream(t *testing.T) {
	u, other := withTestUpstream(t, events(5, true)), withTestUpstream(t, events(5, true))
	var h http.Handler
	f := withFixtureOptions(t, fixtureOptions{serve: keepHandler(&h)}, u, other)
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		h.ServeHTTP(&unreadResponse{recorder: newRecorder()}, testRequest("/stream/x"))
	}()
	assert.Equal(t, u.count()+other.count(), 1)
	for _, load := range []string{"i0", "i1"} {
		assert.Equal(t, f.roomAt(load), 4, load)
	}
}
