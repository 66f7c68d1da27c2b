package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

const (
	// crashProbeDelay is the time after a lost connection at which a new one is tried.
	crashProbeDelay = 20 * time.Millisecond
	// maxCrashProbes limits the concurrent tries.
	maxCrashProbes = 16
)

// reportCrash reports an attempt to the quarantine if its connection was lost because the upstream has crashed. An
// upstream that cuts a response but accepts connections is in service.
func (x *exchange) reportCrash(c *placement.Choice, err error) {
	h := x.handler
	if !connectionLost(err) || !h.options.Quarantine.Suspects(x.caller.SharedParts) {
		return
	}
	if h.crashProbes.Add(1) > maxCrashProbes {
		h.crashProbes.Add(-1)
		return
	}
	go func() {
		defer h.crashProbes.Add(-1)
		_ = hub.Sleep(context.Background(), crashProbeDelay)
		if h.options.Pool.Probe(context.Background(), c.Upstream.Address) != nil {
			h.options.Quarantine.Crashed(c.Upstream.Key(), x.caller.SharedParts)
		}
	}()
}

// connectionLost reports whether err means that the upstream's end of the connection was closed or reset.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
