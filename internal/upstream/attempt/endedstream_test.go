package attempt

import (
	"bufio"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// Guards against an attempt that lasts as long as its upstream, which has ended its stream and reads no more, stays connected.
func TestUpstreamThatEndsItsStreamUnderALongRequestEndsTheAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ended := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		time.Sleep(200 * time.Millisecond) // The buffers are full by then.
		_ = c.(*net.TCPConn).CloseWrite()
		<-ended
	}()
	defer close(ended)
	r := NewRunner(&url.URL{Scheme: "http", Host: l.Addr().String()}, false, func(int) {})
	a := newAttempt("a", "r", false, func(error) {})
	go r.Run(t.Context(), a, &message.RunRequest{Method: http.MethodPost, Target: "/", Body: make([]byte, 16<<20)})
	for deadline := time.Now().Add(10 * time.Second); a.State() == StateRunning; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the attempt still runs")
	}
	assert.Equal(t, a.State(), StateBroken)
}
