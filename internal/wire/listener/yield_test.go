package listener_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// writerFunc is called with each log line.
type writerFunc func()

func (f writerFunc) WriteEntry(*log.Entry) (int, error) { f(); return 0, nil }

// Guards against a request that begins on an idle connection between its choice to be closed for a new one and its end: the
// request would run, and its response be lost. The line that is logged between the two gives it the time.
func TestNoRequestBeginsOnAConnectionThatIsBeingClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := make(chan struct{}, 2)
		logged := func() {}
		logger := &log.Logger{Writer: writerFunc(func() { logged() })}
		inner, l := serve(t, listener.Options{MaxConnections: 1, Log: logger}, func(http.ResponseWriter, *http.Request) { began <- struct{}{} })
		idle := inner.dial("::1")
		send(t, idle, request)
		assert.Equal(t, status(t, idle), http.StatusOK)
		<-began
		time.Sleep(grace)
		logged = func() {
			go func() { _, _ = idle.Write([]byte(request)) }()
			time.Sleep(grace)
		}
		added := inner.dial("::2")
		time.Sleep(2 * grace)
		assert.Equal(t, l.Closed(), int64(1))
		assert.Equal(t, len(began), 0, "a request began on the connection")
		assert.Assert(t, isOpen(t, added) && !isOpen(t, idle))
	})
}
