package channel_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// unreadBody is a body that fits into the receive buffer of a connection, but not into the buffer of a Response.
var unreadBody = bytes.Repeat([]byte("0123456789abcdef"), 2<<10)

// sendUnread sends a call, to which the upstream responds with unreadBody at once, and then ends its connection by end.
func sendUnread(t *testing.T, ctx context.Context, end func(net.Conn)) *channel.Response {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = c.Write(append([]byte("HTTP/1.1 200 X\r\nContent-Length: 32768\r\n\r\n"), unreadBody...))
		end(c)
	}()
	response, err := channel.NewPool(socket.Dialer(testTimeout)).Send(ctx, l.Addr().String(), &channel.Call{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	t.Cleanup(response.Close)
	<-ended
	return response
}

// Guards against the loss of a response that has arrived before the upstream resets its connection.
func TestResponseBeforeAResetIsRead(t *testing.T) {
	response := sendUnread(t, t.Context(), func(c net.Conn) {
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	time.Sleep(50 * time.Millisecond)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, unreadBody))
}

// Guards against the loss of a response that has arrived when its call is cancelled, while its reader was busy.
func TestResponseThatHasArrivedIsReadAfterItsCallIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	response := sendUnread(t, ctx, func(net.Conn) {})
	time.Sleep(50 * time.Millisecond)
	cancel()
	time.Sleep(50 * time.Millisecond)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, unreadBody))
}
