package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

const (
	// watchWait is the maximum time for which one watch call waits for a change.
	watchWait = 30 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is retried. The delay doubles with each
	// failure in a row, and jitter shortens it by up to one half.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// Relay watches keys of the store and publishes their values as documents in the catalog.
type Relay struct {
	store     hub.StoreReader
	catalog   *catalog.Catalog
	log       *log.Logger
	reachable atomic.Bool
}

// New returns a relay from store to c.
func New(store hub.StoreReader, c *catalog.Catalog, l *log.Logger) *Relay {
	return &Relay{store: store, catalog: c, log: l}
}

// Reachable reports whether the store responded to the last call.
func (r *Relay) Reachable() bool {
	return r.reachable.Load()
}

// Run watches one key until ctx is done and publishes each new value. If extract is not nil, it is applied to the value
// and returns the part to publish.
func (r *Relay) Run(ctx context.Context, key string, extract func([]byte) []byte) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		known := r.catalog.Document(key).Revision
		value, err := r.store.Watch(ctx, key, known, watchWait)
		switch {
		case err == nil:
			r.reachable.Store(true)
			delay = minRetryDelay
			if extract != nil {
				value.Data = extract(value.Data)
			}
			r.catalog.PutDocument(hub.Document{Name: key, Revision: value.Revision, Value: value.Data})
		case errors.Is(err, hub.ErrNotFound):
			r.reachable.Store(true)
			delay = minRetryDelay
		case ctx.Err() == nil:
			r.reachable.Store(false)
			r.log.Warn().Str("Key", key).Dur("Pause", delay).Err(err).Msg("watch of the store failed, retrying after the pause")
			sleepJittered(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// sleepJittered waits for a random time between d/2 and d, so that the retries of processes are not synchronised, or
// until ctx is done.
func sleepJittered(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
