package forward_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// Guards against a log that tells of a caller who has left where this process has closed the connection, because the caller read
// nothing or for the limits.
func TestStreamOfAnUnreadConnectionIsNotLoggedAsLeftByItsCaller(t *testing.T) {
	const writeTimeout, unending = 200 * time.Millisecond, 1 << 20
	var logged lockedBuffer
	serve := func(h http.Handler) *httptest.Server {
		s := httptest.NewUnstartedServer(h)
		l, err := listener.New(s.Listener, listener.Options{MaxConnections: 10, HTTP: true, WriteTimeout: writeTimeout, SocketBuffer: 4 << 10})
		assert.NilError(t, err)
		s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, l.ConnContext
		s.Start()
		return s
	}
	f := withLimitedEntry(t, serve, func(o *forward.Options) {
		o.Log = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
	}, withTestUpstream(t, events(unending, true)))
	f.extendTimeouts()
	c := dialSmall(t, f)
	_, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.test\r\n%s: k1\r\nContent-Length: 0\r\n\r\n", desired.HeaderKey)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(logged.String(), "request ended") {
			return poll.Success()
		}
		return poll.Continue("the request goes on")
	}, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
	lines := strings.Split(logged.String(), "\n")
	assertLogged(t, lines, "request ended", `"Outcome":"cut"`, listener.ErrDisplaced.Error())
	assertLogged(t, lines, "attempt failed", `"EndedBy":"limits of callers"`)
}
