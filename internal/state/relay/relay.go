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
	// watchWait is the longest time of one watch call.
	watchWait = 30 * time.Second
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 200 * time.Millisecond
	lastPause  = 10 * time.Second
)

// Relay watches the keys of documents in the store.
type Relay struct {
	store     hub.StoreReader
	catalog   *catalog.Catalog
	log       *log.Logger
	reachable atomic.Bool
}

// New returns a relay from store into c.
func New(store hub.StoreReader, c *catalog.Catalog, l *log.Logger) *Relay {
	return &Relay{store: store, catalog: c, log: l}
}

// Reachable reports whether the store answered the last call.
func (r *Relay) Reachable() bool {
	return r.reachable.Load()
}

// Run watches one key until ctx ends; shorten, unless nil, returns the part of a value that is to spread.
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
			r.log.Warn().Str("Key", key).Dur("Pause", pause).Err(err).Msg("store does not answer")
			sleepJittered(ctx, pause)
			pause = min(2*pause, lastPause)
		}
	}
}

// sleepJittered waits between half of d and all of it, so that processes don't return to the store in step.
func sleepJittered(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
