package engine_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/engine"
)

// Guards against an engine in trouble that fills the memory of its side process with a head without end.
func TestHeadWithoutEndIsLimited(t *testing.T) {
	const enough = 9 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	written := make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		total, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for n, line := 0, "A: "+strings.Repeat("b", 1000)+"\r\n"; err == nil; total += n {
			n, err = io.WriteString(c, line)
		}
		written <- total
	}()
	_, err = engine.New("http://"+listener.Addr().String(), nil).Status(t.Context())
	assert.ErrorIs(t, err, hub.ErrUnavailable)
	total := <-written
	assert.Assert(t, total < enough, "%d bytes", total)
}
