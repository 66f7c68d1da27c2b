package forward_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// loggedFor sends a request for /slow/x to upstreams i0 and i1, of which i1 is listed once i0 has the request, and returns the lines
// that are logged.
func loggedFor(t *testing.T, first, other script) []string {
	p := withTestPipes(t)
	var logged lockedBuffer
	var h http.Handler
	upstreams := []*upstream{p.upstream(first), p.upstream(other)}
	f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h), limit: func(o *forward.Options) {
		o.Log = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
	}}, upstreams[0])
	time.AfterFunc(50*time.Millisecond, func() { f.list(upstreams, false) })
	h.ServeHTTP(newRecorder(), testRequest("/slow/x"))
	time.Sleep(2 * silence)
	synctest.Wait()
	return strings.Split(logged.String(), "\n")
}

// assertLogged fails the test unless one of the lines has all parts.
func assertLogged(t *testing.T, lines []string, parts ...string) {
	t.Helper()
	for _, line := range lines {
		n := 0
		for _, part := range parts {
			if strings.Contains(line, part) {
				n++
			}
		}
		if n == len(parts) {
			return
		}
	}
	assert.Assert(t, false, "no line with %q in %s", parts, strings.Join(lines, "\n"))
}

// Guards against a failure that is logged under the number of a hedge, and only once that has been awaited.
func TestFailureIsLoggedWithTheNumberOfItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := loggedFor(t, after(400*time.Millisecond, drop), after(silence, respond(200, "done")))
		assertLogged(t, lines, `"Upstream":"i0"`, `"Sending":1`, `"SinceSent":420`, "attempt failed")
	})
}

// Guards against a log line of a request that leaves out the hedges of its last attempt.
func TestHedgesOfASuccessfulAttemptAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := loggedFor(t, after(400*time.Millisecond, respond(200, "done")), after(silence, respond(200, "done")))
		assertLogged(t, lines, `"Outcome":"answered"`, `"Sent":2`, `"MayHaveRun":2`, "request ended")
	})
}
