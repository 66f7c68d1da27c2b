package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/placement"
)

const (
	// immediateRetries is the number of retries after resets by connection limits that are made without delay.
	immediateRetries = 1
	// resetRetryDelay is the minimum time before each further one, and half of the maximum. It is of the order of the time
	// that a request occupies a connection.
	resetRetryDelay = 50 * time.Millisecond
)

// maxConnections returns the number of connections that each upstream of the service accepts, 0 if there is no limit.
func (x *exchange) maxConnections() int {
	if s := x.handler.options.Directory.Current().Service(x.service); s != nil {
		return s.MaxConnections
	}
	return 0
}

// notSent records an attempt of which no byte was sent.
func (x *exchange) notSent(c *placement.Choice, err error) {
	x.countReset(err)
	if x.r.Context().Err() == nil && x.countNotSent(c, err) {
		x.tried = append(x.tried, c.Upstream.Key())
	}
}

// countNotSent records in the load of the upstream that no byte of an attempt was sent, and returns whether the request must not
// be sent there again. An upstream at the limit of its connections is treated like one without a free slot: it is not chosen for
// a short time, and may be chosen again after it. One that has not taken a connection in time may be sound and silent for a moment: a
// stream that has begun may try it again. It may be called from any goroutine.
func (x *exchange) countNotSent(c *placement.Choice, err error) (exclude bool) {
	switch {
	case errors.Is(err, channel.ErrNotAllowed):
		// The next choice leaves out the upstream for the same reason.
	case errors.Is(err, channel.ErrNoConnection):
		c.Load.Refused()
	case errors.Is(err, channel.ErrReset):
		c.Load.Refused()
		c.Load.Failed()
	case errors.Is(err, channel.ErrSilent) && x.begun.Load():
		c.Load.Failed()
	case errors.Is(err, syscall.ECONNREFUSED):
		c.Load.Unreachable()
		x.handler.options.Quarantine.Lost(c.Upstream.Key())
		return true
	default:
		c.Load.Failed()
		return true
	}
	return false
}

// countReset counts an attempt that ended with a reset by the connection limit of an upstream.
func (x *exchange) countReset(err error) {
	if errors.Is(err, channel.ErrReset) {
		x.resets++
	}
}

// waitAfterResets delays the retry after an attempt that failed with err, if the request has been reset by connection
// limits more than immediateRetries times: many requests that are repeated at the same time would only be reset again.
func (x *exchange) waitAfterResets(ctx context.Context, err error) {
	if errors.Is(err, channel.ErrReset) && x.resets > immediateRetries {
		_ = hub.Sleep(ctx, resetRetryDelay+rand.N(resetRetryDelay))
	}
}
