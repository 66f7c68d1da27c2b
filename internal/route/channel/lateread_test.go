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

// lateRead is the time for which an upstream of the tests reads nothing of a body. It exceeds the time for which sent data may
// remain unacknowledged.
const lateRead = 4 * time.Second

// readLate serves one connection: it reads the header of a call, responds at once if early is true, reads the body lateRead
// later, and responds then unless it has responded.
func readLate(l net.Listener, early bool, read chan<- int64) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	if early {
		write(c, response)
	}
	time.Sleep(lateRead)
	n, _ := io.Copy(io.Discard, r.Body)
	read <- n
	if !early {
		write(c, response)
	}
}

// Guards against ending a call whose upstream lives, has acknowledged all that it had room for, and reads the rest later.
func TestUpstreamMayReadALongBodyLate(t *testing.T) {
	const length = 16 << 20
	for name, early := range map[string]bool{"responds at the end": false, "responds at once": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			read := make(chan int64, 1)
			go readLate(l, early, read)
			call := testCall("")
			call.Body, call.Mismatched = make([]byte, length), nil
			body, err := roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), l.Addr().String(), call)
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			assert.Equal(t, <-read, int64(length))
		})
	}
}
