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

// crashProbeDelay is the time after a lost connection at which a new one is tried.
const crashProbeDelay = 20 * time.Millisecond

// reportCrash reports an attempt to the quarantine if its connection was lost because the upstream has crashed. An
// upstream that cuts a response but accepts connections is in service. For requests with suspected parts this takes
// time, so that a part is in quarantine before the request is sent to another upstream.
func (x *exchange) reportCrash(c *placement.Choice, err error) {
	o := &x.handler.options
	if !connectionLost(err) || !o.Quarantine.Suspects(x.caller.SharedParts) {
		return
	}
	// The caller may leave meanwhile, but the upstream has crashed all the same.
	ctx := context.WithoutCancel(x.r.Context())
	_ = hub.Sleep(ctx, crashProbeDelay)
	if o.Pool.Probe(ctx, c.Upstream.Address) != nil {
		o.Quarantine.Crashed(c.Upstream.Key(), x.caller.SharedParts)
	}
}

// connectionLost reports whether err means that the upstream's end of the connection was closed or reset.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
