package loader

import (
	"context"
	"errors"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
)

// errLost means that the engine no longer holds the version that it was serving.
var errLost = errors.New("engine lost the version that it was serving")

// watchEngine polls the engine until ctx is done. It blocks requests while the engine does not respond, and when the
// engine holds another version than the one being served.
func (l *Loader) watchEngine(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		_ = hub.Sleep(ctx, pollInterval)
		expected := l.ServingRoot()
		status, err := l.options.Engine.Status(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			l.options.Guard.SetBlocked(guard.ReasonEngineDown, failures >= maxStatusFailures)
			continue
		}
		failures = 0
		l.options.Guard.Unblock(guard.ReasonEngineDown)
		if expected != "" && status.Digest != expected {
			l.stopServing(expected, status.Digest)
		}
	}
}

// stopServing blocks requests because the engine holds the root digest found instead of expected. It does nothing if
// another load has been ordered in the meantime.
func (l *Loader) stopServing(expected, found string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.progress.ServingRoot != expected {
		return
	}
	l.options.Guard.Block(guard.ReasonNotLoaded)
	l.progress.ServingRoot = ""
	l.progress.ServingVersion = ""
	l.options.Log.Error().Str("Expected", expected).Str("Found", found).Err(errLost).Msg("engine holds other weights than expected; upstream taken out of service")
	select {
	case l.lost <- struct{}{}:
	default:
	}
}
