package loader

import (
	"context"
	"errors"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
)

// errLost reports an engine that no longer holds what it was ordered to load.
var errLost = errors.New("engine lost the version that it was serving")

// watchEngine takes the upstream out of service while the engine does not answer or holds another version.
func (l *Loader) watchEngine(ctx context.Context) {
	unanswered := 0
	for ctx.Err() == nil {
		_ = hub.Sleep(ctx, pollInterval)
		expected := l.ServingRoot()
		status, err := l.options.Engine.Status(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			unanswered++
			l.options.Guard.SetBlocked(guard.ReasonEngineDown, unanswered >= unansweredLimit)
			continue
		}
		unanswered = 0
		l.options.Guard.Unblock(guard.ReasonEngineDown)
		if expected != "" && status.Digest != expected {
			l.loseVersion(expected, status.Digest)
		}
	}
}

// loseVersion ends service from the expected version, unless another one was ordered meanwhile.
func (l *Loader) loseVersion(expected, found string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.progress.ServingRoot != expected {
		return
	}
	l.options.Guard.Block(guard.ReasonNotLoaded)
	l.progress.ServingRoot = ""
	l.progress.ServingVersion = ""
	l.options.Log.Error().Str("Expected", expected).Str("Found", found).Err(errLost).Msg("taken out of service")
	select {
	case l.lost <- struct{}{}:
	default:
	}
}
