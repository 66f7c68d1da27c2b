package channel_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// refuseEarly responds to each connection once the header of a request has arrived, and closes it with the body unread.
func refuseEarly(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}
		_ = c.Close()
	}
}

// Guards against taking an upstream that refuses a call before it has read the whole body for one that was lost under it.
func TestResponseBeforeTheEndOfTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go refuseEarly(l)
	p := channel.NewPool(socket.Dialer(testTimeout))
	for range 20 {
		response, err := p.Send(t.Context(), l.Addr().String(), &channel.Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 16<<20)})
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusServiceUnavailable)
		response.Close()
	}
}
