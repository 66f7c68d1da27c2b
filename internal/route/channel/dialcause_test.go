package channel_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// Guards against an error that names the upstream where the call was ended while its connection was being opened.
func TestEndedDialTellsWhatEndedIt(t *testing.T) {
	errEnded := errors.New("time is up")
	ctx, cancel := context.WithCancelCause(t.Context())
	p := channel.NewPool(func(context.Context, string) (net.Conn, error) {
		cancel(errEnded)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("operation was canceled")}
	})
	_, err := p.Send(ctx, "127.0.0.1:1", testCall(""))
	assert.ErrorIs(t, err, channel.ErrNotSent)
	assert.ErrorIs(t, err, errEnded)
}
