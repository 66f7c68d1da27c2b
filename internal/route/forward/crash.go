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
// upstream that cuts a response, or closes a connection that was idle, but accepts new ones is in service. It returns when
// that is known, so that the request or a part of it is in quarantine before it is sent to another upstream, also by a hedge.
func (x *exchange) reportCrash(c *placement.Choice, timer *attemptTimer, err error) {
	timer.close()
	x.crashed = x.crashedUnder(c, err) || x.crashed
}

// crashedUnder is reportCrash for attempts in any goroutine. It returns whether the upstream has crashed.
func (x *exchange) crashedUnder(c *placement.Choice, err error) bool {
	o := &x.handler.options
	if !connectionLost(err) || !o.Quarantine.Suspects(&x.keys) {
		return false
	}
	// The caller may leave meanwhile, but the upstream has crashed all the same.
	ctx := context.WithoutCancel(x.r.Context())
	_ = hub.Sleep(ctx, crashProbeDelay)
	if o.Pool.Probe(ctx, c.Upstream.Address) == nil {
		return false
	}
	o.Quarantine.Crashed(c.Upstream.Key(), &x.keys)
	return true
}

// connectionLost reports whether err means that the upstream's end of the connection was closed or reset.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
