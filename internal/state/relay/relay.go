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
	// firstPause is the maximum delay after the first failed call; it doubles with each further failure up to lastPause.
	firstPause = 200 * time.Millisecond
	lastPause  = 10 * time.Second
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

// Run watches one key until ctx is done and publishes each new value. If shorten is not nil, it is applied to the value
// and returns the part to publish.
func (r *Relay) Run(ctx context.Context, key string, shorten func([]byte) []byte) {
	pause := firstPause
	for ctx.Err() == nil {
		known := r.catalog.Document(key).Revision
		value, err := r.store.Watch(ctx, key, known, watchWait)
		switch {
		case err == nil:
			r.reachable.Store(true)
			pause = firstPause
			if shorten != nil {
				value.Data = shorten(value.Data)
			}
			r.catalog.PutDocument(hub.Document{Name: key, Revision: value.Revision, Value: value.Data})
		case errors.Is(err, hub.ErrNotFound):
			r.reachable.Store(true)
			pause = firstPause
		case ctx.Err() == nil:
			r.reachable.Store(false)
			r.log.Warn().Str("Key", key).Dur("Pause", pause).Err(err).Msg("watch of the store failed, retrying after the pause")
			sleepJittered(ctx, pause)
			pause = min(2*pause, lastPause)
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
