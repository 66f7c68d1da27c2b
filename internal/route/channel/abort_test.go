package channel_test

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// Guards against the rest of a cancelled call that reaches its upstream later from the sender's buffers.
func TestUnsentRestOfCancelledCallIsDropped(t *testing.T) {
	listener, err := faulty.ListenSlowly(t.Context())
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	call := testCall("a")
	call.Body = make([]byte, 16*faulty.SmallReceiveBuffer)
	call.Trace = &channel.Trace{}
	sent := make(chan error, 1)
	go func() {
		_, err := channel.NewPool(socket.Dialer(testTimeout)).Send(ctx, listener.Addr().String(), call)
		sent <- err
	}()
	c, err := listener.Accept()
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	cancel()
	assert.Assert(t, errors.Is(<-sent, context.Canceled))
	n, err := io.Copy(io.Discard, c)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%d bytes of the call and error %v after it was cancelled", n, err)
}
