package channel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// flood writes begin and then text without end until the connection is closed, and counts the bytes.
func flood(begin, text string, written *atomic.Int64) func(int, *http.Request, net.Conn) bool {
	return func(_ int, _ *http.Request, c net.Conn) bool {
		write(c, begin)
		block := strings.Repeat(text, 16<<10/len(text))
		for {
			n, err := io.WriteString(c, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
	}
}

// Guards against a head without end that is read into memory until the call's time is up.
func TestHeadWithoutEndEndsTheCall(t *testing.T) {
	const enough = 16 << 20
	for name, tc := range map[string]struct{ begin, text string }{
		"one line":           {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"many lines":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"no protocol":        {"", "\x00"},
		"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"another call's":     {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"chunk line":         {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailers":           {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"response to others": {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			u := withTestUpstream(t, flood(tc.begin, tc.text, &written))
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			started := time.Now()
			_, err := channel.NewPool(socket.Dialer(testTimeout)).Send(ctx, u.address, testCall("a"))
			assert.Assert(t, errors.Is(err, channel.ErrBroken), "%v", err)
			assert.Assert(t, time.Since(started) < testTimeout/2)
			assert.Assert(t, written.Load() < enough, "%d bytes", written.Load())
		})
	}
}
