package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
)

// Guards against log lines that call the time limit or the stop of this process a broken connection.
func TestLogTellsWhatEndedAnAttempt(t *testing.T) {
	broke := func(err error) error { return fmt.Errorf("%w: read body: %w", channel.ErrBroken, err) }
	reset := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	unacknowledged := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	for want, errs := range map[string][]error{
		"upstream":         {broke(io.ErrUnexpectedEOF), broke(reset), fmt.Errorf("%w: status 503", errRefused), fmt.Errorf("%w: status 500", errFailed), errors.New("other")},
		"network":          {broke(unacknowledged), fmt.Errorf("%w: %w", channel.ErrNotSent, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded})},
		"time limit":       {broke(errTimedOut), errTimedOut},
		"stop":             {broke(errStopping)},
		"first attempt":    {broke(errUnneeded)},
		"caller":           {broke(errGone), fmt.Errorf("%w: %w", channel.ErrNotSent, context.Canceled)},
		"hedge":            {broke(errSlow)},
		"version":          {broke(errReplaced)},
		"memory":           {broke(errNoResponseMemory)},
		"connection limit": {fmt.Errorf("%w: %w", channel.ErrNotSent, channel.ErrNoConnection)},
	} {
		for _, err := range errs {
			assert.Equal(t, endedBy(err), want, "%v", err)
		}
	}
}

// Guards against an attempt that ends with its context and is told as a broken connection.
func TestBrokenErrorKeepsWhatEndedTheAttempt(t *testing.T) {
	for cause, want := range map[error]string{errTimedOut: "time limit", errStopping: "stop", errSlow: "hedge", errReplaced: "version"} {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		x := &exchange{r: httptest.NewRequest(http.MethodGet, "/", nil)}
		assert.Equal(t, endedBy(x.brokenError(ctx, io.ErrUnexpectedEOF)), want)
	}
}
