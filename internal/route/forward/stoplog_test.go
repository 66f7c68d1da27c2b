package forward_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
)

// heldResponse is a response of which the caller reads the first part only. Further writes wait until its connection is closed.
type heldResponse struct {
	*recorder
	parts  int
	closed chan struct{}
}

func (w *heldResponse) Write(p []byte) (int, error) {
	if w.parts++; w.parts > 1 {
		<-w.closed
		return 0, net.ErrClosed
	}
	return w.recorder.Write(p)
}

// Guards against a log that tells of a caller who has left where the process has stopped and closed the connection.
func TestStreamCutByAStopIsNotLoggedAsLeftByItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		var logged lockedBuffer
		var h http.Handler
		stop := forward.NewStop()
		withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: keepHandler(&h), limit: func(o *forward.Options) {
			o.Log, o.Stop = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}, stop
		}}, p.upstream(events(5, true)))
		w := &heldResponse{recorder: newRecorder(), closed: make(chan struct{})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer func() { _ = recover() }()
			h.ServeHTTP(w, testRequest("/stream/x"))
		}()
		synctest.Wait()
		stop.Cut()
		synctest.Wait()
		close(w.closed)
		<-done
		lines := strings.Split(logged.String(), "\n")
		assertLogged(t, lines, "request ended", `"Outcome":"cut"`, "process is stopping")
		assert.Assert(t, !strings.Contains(logged.String(), `"Outcome":"gone"`))
	})
}
