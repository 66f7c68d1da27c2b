package forward

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// What ends an attempt that fails, as named in log lines.
const (
	endedByUpstream  = "upstream"
	endedByNetwork   = "network"
	endedByTimeLimit = "time limit"
	endedByStop      = "stop"
	endedByCaller    = "caller"
	endedByHedge     = "hedge"
	endedByVersion   = "version"
	endedByFirst     = "first attempt"
	endedByMemory    = "memory"
	endedByConnLimit = "connection limit"
	endedByLimits    = "limits of callers"
)

// endings maps the reasons for which this process ends an attempt, and those for which none begins, to what ends it.
var endings = []struct {
	reason error
	by     string
}{
	{errStopping, endedByStop},
	{errTimedOut, endedByTimeLimit},
	{listener.ErrDisplaced, endedByLimits},
	{errGone, endedByCaller},
	{errSlow, endedByHedge},
	{errReplaced, endedByVersion},
	{errUnneeded, endedByFirst},
	{errNoResponseMemory, endedByMemory},
	{channel.ErrNoConnection, endedByConnLimit},
	{os.ErrDeadlineExceeded, endedByNetwork},
	{syscall.ETIMEDOUT, endedByNetwork},
	{syscall.EHOSTUNREACH, endedByNetwork},
	{syscall.ENETUNREACH, endedByNetwork},
	// The context of a request ends without another cause once its caller has left.
	{context.Canceled, endedByCaller},
}

// endedBy returns what has ended an attempt that failed with err: the upstream, unless err tells otherwise.
func endedBy(err error) string {
	for _, e := range endings {
		if errors.Is(err, e.reason) {
			return e.by
		}
	}
	return endedByUpstream
}
