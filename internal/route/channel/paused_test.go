package channel_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// readAfterPause responds to requests on a connection, each pause after its header has arrived: it does not read the body before.
func readAfterPause(c net.Conn, pause time.Duration) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(pause)
		n, _ := io.Copy(io.Discard, request.Body)
		if n == request.ContentLength {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against taking an upstream for lost that does not read for a while, so that its receive buffer is full: it is sound.
func TestUpstreamMayPauseReadingALongBody(t *testing.T) {
	t.Parallel()
	const (
		size = 16 << 20
		// pause exceeds the time for which sent data may remain unacknowledged.
		pause = 4 * time.Second
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go readAfterPause(c, pause)
		}
	}()
	p := channel.NewPool(socket.Dialer(testTimeout))
	for i := range 2 {
		response, err := p.Send(t.Context(), l.Addr().String(), &channel.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size)})
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusOK)
		assert.Equal(t, response.Reused, i > 0)
		_, err = io.Copy(io.Discard, response)
		assert.NilError(t, err)
		response.Close()
	}
}
