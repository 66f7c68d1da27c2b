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
	// suspectPatience is the time for which an attempt of a suspected request goes on after its caller has left.
	suspectPatience = 300 * time.Millisecond
)

// attemptContext returns a context for an attempt that ends with ctx. If the caller leaves before the response to a request that is
// suspected of crashing upstreams, it ends suspectPatience later, so that the attempt shows whether the upstream crashes.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	out, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		left := errors.Is(context.Cause(ctx), context.Canceled)
		if left && !x.begun.Load() && x.handler.options.Quarantine.Suspected(&x.keys) {
			_ = hub.Sleep(out, suspectPatience)
		}
		cancel(context.Cause(ctx))
	})
	return out, func(cause error) {
		stop()
		cancel(cause)
	}
}

// reportCrash reports an attempt in ctx that ended with err to the quarantine if its connection was lost because the upstream
// has crashed. An upstream that cuts a response, or closes a connection that was idle, but accepts new ones is in service. It
// returns when that is known, so that the request or a part of it is in quarantine before it is sent to another upstream, also by
// a hedge.
func (x *exchange) reportCrash(ctx context.Context, c *placement.Choice, timer *attemptTimer, err error) {
	timer.suspend()
	if context.Cause(ctx) != nil && x.r.Context().Err() != nil {
		x.handler.options.Quarantine.Abandoned(c.Upstream.Key(), &x.keys)
	}
	x.crashed = x.crashedUnder(ctx, c, err) || x.crashed
}

// crashedUnder is reportCrash for attempts in any goroutine. It returns whether the upstream has crashed.
func (x *exchange) crashedUnder(ctx context.Context, c *placement.Choice, err error) bool {
	o := &x.handler.options
	if context.Cause(ctx) != nil || !connectionLost(err) || !o.Quarantine.Suspects(&x.keys) {
		return false
	}
	// The caller may leave meanwhile, but the upstream has crashed all the same.
	ctx = context.WithoutCancel(ctx)
	_ = hub.Sleep(ctx, crashProbeDelay)
	if o.Pool.Probe(ctx, c.Upstream.Address) == nil {
		return false
	}
	o.Quarantine.Crashed(c.Upstream.Key(), &x.keys)
	o.Quarantine.Lost(c.Upstream.Key())
	return true
}

// connectionLost reports whether err means that the upstream's end of the connection was closed or reset.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
