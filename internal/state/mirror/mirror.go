package mirror

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

const (
	// followWait is the longest time for which the store is asked to wait for a change. A connection that
	// went silent is noticed after this and the time limit of a call.
	followWait = 2500 * time.Millisecond
	// relistInterval is the time between two full reads: a watch may miss changes without saying so.
	relistInterval = 8 * time.Second
	// retryPause is the mean pause after a failed call.
	retryPause = 300 * time.Millisecond
)

// Options are what a mirror works with.
type Options struct {
	Source  hub.StateSource
	Decoder hub.StateDecoder
	Catalog *catalog.Catalog
	Log     *log.Logger
}

// Mirror follows the store and publishes what it reads.
//
// Each prefix is read whole and then followed. What is published carries the revision of the store at which
// it was read, so that of two processes' copies the newer one wins in the catalog. A mirror that hears a
// newer copy from another process, because the store turns it away or its watch has gone deaf, goes on from that.
type Mirror struct {
	options   Options
	upstreams string
	operator  string
	reachable atomic.Bool
}

// New returns a mirror.
func New(o Options) *Mirror {
	m := &Mirror{options: o}
	m.upstreams, m.operator = o.Decoder.Prefixes()
	return m
}

// Reachable reports whether the store answered the last call.
func (m *Mirror) Reachable() bool { return m.reachable.Load() }

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { m.follow(ctx, m.upstreams) })
	running.Go(func() { m.follow(ctx, m.operator) })
	running.Wait()
}

// ReadOnce reads both prefixes once and publishes them.
func (m *Mirror) ReadOnce(ctx context.Context) error {
	for _, prefix := range []string{m.operator, m.upstreams} {
		listing, err := m.options.Source.List(ctx, prefix)
		if err != nil {
			return err
		}
		var k keys
		k.replace(listing)
		m.publish(prefix, &k)
	}
	return nil
}

func (m *Mirror) follow(ctx context.Context, prefix string) {
	k := &keys{items: map[string]hub.Item{}}
	var listed time.Time
	for ctx.Err() == nil {
		err := m.step(ctx, prefix, k, &listed)
		if ctx.Err() != nil {
			return
		}
		m.note(prefix, err)
		if err != nil {
			listed = time.Time{}
		}
		if err != nil && !errors.Is(err, hub.ErrHistoryLost) {
			_ = hub.Sleep(ctx, retryPause/2+rand.N(retryPause))
		}
	}
}

// step reads the prefix whole if that is due, else waits for a change.
func (m *Mirror) step(ctx context.Context, prefix string, k *keys, listed *time.Time) error {
	if time.Since(*listed) >= relistInterval {
		listing, err := m.options.Source.List(ctx, prefix)
		if err != nil {
			return err
		}
		if listing.Revision >= k.at {
			k.replace(listing)
		}
		*listed = time.Now()
		m.publish(prefix, k)
		return nil
	}
	m.adopt(prefix, k)
	changes, err := m.options.Source.Follow(ctx, prefix, k.at, followWait)
	if err != nil {
		return err
	}
	k.apply(changes)
	m.publish(prefix, k)
	return nil
}

// note logs when the store is lost and when it is back.
func (m *Mirror) note(prefix string, err error) {
	switch {
	case errors.Is(err, hub.ErrHistoryLost):
		m.options.Log.Warn().Str("Prefix", prefix).Msg("store dropped its history, reading anew")
	case err != nil && m.reachable.Swap(false):
		m.options.Log.Warn().Str("Prefix", prefix).Err(err).Msg("store lost")
	case err == nil && !m.reachable.Swap(true):
		m.options.Log.Info().Str("Prefix", prefix).Msg("store reached")
	}
}

// document returns the name of the document that holds the keys of a prefix, and which keys it holds.
func (m *Mirror) document(prefix string) (name string, own func(key string) bool) {
	if prefix == m.upstreams {
		return DocumentUpstreams, func(string) bool { return true }
	}
	return DocumentDirectives, func(key string) bool { return !m.options.Decoder.IsConfiguration(key) }
}

// adopt goes on from another process's copy where that is newer.
func (m *Mirror) adopt(prefix string, k *keys) {
	name, own := m.document(prefix)
	d := m.options.Catalog.Document(name)
	if d.Revision <= k.at {
		return
	}
	entries, err := Decode(d.Value)
	if err != nil {
		m.options.Log.Error().Str("Document", name).Uint64("Revision", d.Revision).Err(err).Msg("copy not readable")
		return
	}
	k.adopt(entries, d.Revision, own)
}

// publish puts what has changed into the catalog.
func (m *Mirror) publish(prefix string, k *keys) {
	for _, i := range k.items {
		if prefix == m.operator && m.options.Decoder.IsConfiguration(i.Key) {
			m.options.Catalog.PutDocument(hub.Document{Name: DocumentConfiguration, Revision: i.Revision, Value: i.Value})
		}
	}
	name, own := m.document(prefix)
	value, err := k.encode(own)
	if err != nil {
		m.options.Log.Error().Str("Document", name).Err(err).Msg("copy not published")
		return
	}
	known := m.options.Catalog.Document(name)
	if known.Revision != 0 && bytes.Equal(known.Value, value) {
		return
	}
	m.options.Catalog.PutDocument(hub.Document{Name: name, Revision: k.at, Value: value})
}
