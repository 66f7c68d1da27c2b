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
	// followWait is the maximum time for which the store waits for a change before it responds. A connection that has gone
	// silent is detected after this time plus the timeout of a call; changes must be known 3 s after that.
	followWait = 1000 * time.Millisecond
	// relistInterval is the interval between two listings of all keys, which repair changes that a watch has missed
	// without an error.
	relistInterval = 8 * time.Second
	// joinInterval is the mean of the minimum interval between two calls that follow the upstreams, so that changes in quick
	// succession are read together.
	joinInterval = 500 * time.Millisecond
	// dutyCheckInterval is the interval at which a process that does not read the store checks whether it must.
	dutyCheckInterval = 100 * time.Millisecond
	// detachAfter is the time for which calls must fail before this process leaves the reading to others.
	detachAfter = 500 * time.Millisecond
	// meanRetryDelay is the mean delay before a failed call is retried.
	meanRetryDelay = 300 * time.Millisecond
	// expiryTime is the shortest outage of the store after which entries of live upstreams may have expired.
	expiryTime = 2 * time.Second
	// prefixCount is the number of mirrored key prefixes.
	prefixCount = 2
)

// Options configures a Mirror.
type Options struct {
	Source  hub.StateSource
	Decoder hub.StateDecoder
	Catalog *catalog.Catalog
	// Reads reports whether this process reads the store. Others publish nothing; they rely on the documents that the
	// readers publish. Every process lists all keys once when it starts. nil means that it always reads.
	Reads func() bool
	Log   *log.Logger
}

// Mirror watches the keys in the store and publishes them as documents in the catalog.
//
// It lists all keys of each prefix and then follows their changes. The configuration document has the revision of
// its key, the others have the store revision at which their keys were read, so that the catalog keeps the newest copy
// of all processes. If the mirror falls behind, because the store rejects its calls or its watch misses changes, it
// continues from a newer copy published by another process.
type Mirror struct {
	options Options
	// upstreams and operator are the key prefixes.
	upstreams string
	operator  string
	reachable atomic.Bool
	// failingSince holds, for each prefix, the time of the first of the calls that have failed since the last success,
	// in nanoseconds since created; 0 if the last call succeeded.
	failingSince map[string]*atomic.Int64
	created      time.Time
	// tooLong maps the keys whose values are too long for an entry to the revision for which that was logged.
	tooLong sync.Map
	// asked counts the prefixes for which the first call to the store has ended.
	asked atomic.Int32
}

// New returns a mirror; call Run to start it.
func New(o Options) *Mirror {
	m := &Mirror{options: o, created: time.Now()}
	m.upstreams, m.operator = o.Decoder.Prefixes()
	m.failingSince = map[string]*atomic.Int64{m.upstreams: {}, m.operator: {}}
	return m
}

// Reachable reports whether the store responded to the last call.
func (m *Mirror) Reachable() bool { return m.reachable.Load() }

// Detached reports whether the calls to the store have failed for longer than detachAfter.
func (m *Mirror) Detached() bool {
	for _, since := range m.failingSince {
		if at := since.Load(); at != 0 && time.Since(m.created)-time.Duration(at) > detachAfter {
			return true
		}
	}
	return false
}

// Asked reports whether the store has been asked for all keys once, successfully or not.
func (m *Mirror) Asked() bool { return m.asked.Load() == prefixCount }

// Run mirrors both prefixes until ctx is done.
func (m *Mirror) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { m.follow(ctx, m.upstreams) })
	running.Go(func() { m.follow(ctx, m.operator) })
	running.Wait()
}

// ReadOnce lists both prefixes once and publishes them.
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

// follow mirrors one prefix until ctx is done. After an error it lists all keys again.
func (m *Mirror) follow(ctx context.Context, prefix string) {
	k := &keys{items: map[string]hub.Item{}}
	m.contacted(k)
	var listed time.Time
	asked, lost := false, false
	for ctx.Err() == nil {
		if asked && !m.reads() {
			m.contacted(k)
			_ = hub.Sleep(ctx, dutyCheckInterval)
			continue
		}
		listing := m.listingDue(listed)
		started := time.Now()
		err := m.step(ctx, prefix, k, &listed)
		if ctx.Err() != nil {
			return
		}
		if !asked {
			asked = true
			m.asked.Add(1)
		}
		m.updateReachable(prefix, err)
		if err == nil {
			m.contacted(k)
		} else {
			listed = time.Time{}
		}
		// A new listing repairs one lost history. If the next is lost too, listing at once again does not help.
		lostAgain := lost && errors.Is(err, hub.ErrHistoryLost)
		if !listing {
			lost = errors.Is(err, hub.ErrHistoryLost)
		}
		// A watch that has gone silent has taken long enough, and a new connection may work.
		silent := !listing && err != nil && time.Since(started) > followWait
		if err != nil && !silent && !errors.Is(err, hub.ErrHistoryLost) || lostAgain {
			_ = hub.Sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
		}
		if err == nil && prefix == m.upstreams && !listing {
			// The readers wait for different times, so that one of them soon sees the next change.
			_ = hub.Sleep(ctx, joinInterval/2+rand.N(joinInterval)-time.Since(started))
		}
	}
}

// reads reports whether this process reads the store.
func (m *Mirror) reads() bool { return m.options.Reads == nil || m.options.Reads() }

// listingDue reports whether all keys must be listed that were last listed at the given time.
func (m *Mirror) listingDue(listed time.Time) bool { return time.Since(listed) >= relistInterval }

// step lists all keys of the prefix if that is due, otherwise it waits for changes, and publishes the result.
func (m *Mirror) step(ctx context.Context, prefix string, k *keys, listed *time.Time) error {
	if m.listingDue(*listed) {
		listing, err := m.options.Source.List(ctx, prefix)
		if err != nil {
			return err
		}
		m.logRestored(prefix, listing, k)
		m.publishReturn(prefix, listing, k)
		if listing.Skipped != k.skipped {
			k.skipped = listing.Skipped
			m.logSkipped(prefix, listing)
		}
		if listing.Revision >= k.revision {
			k.replace(listing)
		}
		*listed = time.Now()
		m.publish(prefix, k)
		return nil
	}
	m.adopt(prefix, k)
	changes, err := m.options.Source.Follow(ctx, prefix, k.revision, followWait)
	if err != nil {
		return err
	}
	k.apply(changes)
	if changes.Skipped > 0 {
		m.logSkipped(prefix, changes)
	}
	if len(changes.Items) > 0 {
		m.publish(prefix, k)
	}
	return nil
}

// contacted records that a call has succeeded, or that none was due until now.
func (m *Mirror) contacted(k *keys) {
	k.contact, k.toldReturn = time.Now(), m.options.Catalog.Document(DocumentReturn).Revision
}

// publishReturn publishes that l is the first listing of the upstreams after an outage of the store because of which entries may
// expire, unless another process has done so.
func (m *Mirror) publishReturn(prefix string, l hub.Listing, k *keys) {
	outage := time.Since(k.contact)
	told := m.options.Catalog.Document(DocumentReturn).Revision
	if prefix != m.upstreams || m.failingSince[prefix].Load() == 0 || outage < expiryTime || told > k.toldReturn {
		return
	}
	m.options.Log.Warn().Uint64("Revision", l.Revision).Dur("Outage", outage).Msg("store is back; entries of upstreams may have expired meanwhile")
	// The store may not have changed since the return before.
	m.options.Catalog.PutDocument(hub.Document{Name: DocumentReturn, Revision: max(l.Revision, told+1)})
}

// logRestored logs that a listing is of a later era of the store than the keys.
func (m *Mirror) logRestored(prefix string, l hub.Listing, k *keys) {
	if k.revision == 0 || hub.EraOf(l.Revision) <= hub.EraOf(k.revision) {
		return
	}
	m.options.Log.Warn().Str("Prefix", prefix).Uint64("Era", hub.EraOf(l.Revision)).Uint64("Revision", l.Revision).Uint64("Known", k.revision).
		Msg("store was restored from a copy; it may lack changes that were confirmed")
}

// logSkipped logs how many entries of a listing can't be read.
func (m *Mirror) logSkipped(prefix string, l hub.Listing) {
	m.options.Log.Warn().Str("Prefix", prefix).Uint64("Revision", l.Revision).Int("Skipped", l.Skipped).Str("First", l.SkipReason).
		Msg("entries that can't be read, skipping them")
}

// updateReachable updates the reachability of the store after a call that returned err and logs the changes.
func (m *Mirror) updateReachable(prefix string, err error) {
	failing := m.failingSince[prefix]
	switch {
	case err == nil || errors.Is(err, hub.ErrHistoryLost):
		failing.Store(0)
	case failing.Load() == 0:
		failing.Store(int64(time.Since(m.created)))
	}
	switch {
	case errors.Is(err, hub.ErrHistoryLost):
		m.options.Log.Warn().Str("Prefix", prefix).Msg("store no longer keeps the requested changes, listing all keys again")
	case err != nil && m.reachable.Swap(false):
		m.options.Log.Warn().Str("Prefix", prefix).Err(err).Msg("store lost, retrying")
	case err == nil && !m.reachable.Swap(true):
		m.options.Log.Info().Str("Prefix", prefix).Msg("store reached")
	}
}

// document returns the name of the document for the keys of a prefix, and a function that reports whether the document
// contains a key.
func (m *Mirror) document(prefix string) (name string, include func(key string) bool) {
	if prefix == m.upstreams {
		return DocumentUpstreams, func(string) bool { return true }
	}
	return DocumentDirectives, func(key string) bool { return !m.options.Decoder.IsConfiguration(key) }
}

// adopt replaces k by the document in the catalog if another process has published a newer one.
func (m *Mirror) adopt(prefix string, k *keys) {
	name, include := m.document(prefix)
	l, revision := m.options.Catalog.List(name)
	switch {
	case revision <= k.revision:
	case l == nil:
		m.options.Log.Error().Str("Document", name).Uint64("Revision", revision).Msg("copy of another process is not a list, keeping the local one")
	default:
		k.adopt(l.Entries(), revision, include)
	}
}

// publish puts the documents of a prefix into the catalog if they have changed.
func (m *Mirror) publish(prefix string, k *keys) {
	for _, i := range k.items {
		if prefix == m.operator && m.options.Decoder.IsConfiguration(i.Key) {
			m.options.Catalog.PutDocument(hub.Document{Name: DocumentConfiguration, Revision: i.Revision, Value: i.Value})
		}
	}
	name, include := m.document(prefix)
	for _, i := range k.tooLong(include) {
		if logged, ok := m.tooLong.Swap(i.Key, i.Revision); !ok || logged != i.Revision {
			m.options.Log.Warn().Str("Key", i.Key).Uint64("Revision", i.Revision).Int("Bytes", len(i.Value)).Msg("value is too long for an entry, skipping it")
		}
	}
	l, err := k.list(include)
	if err != nil {
		m.options.Log.Error().Str("Document", name).Err(err).Msg("cannot encode document, not publishing it")
		return
	}
	known := m.options.Catalog.Document(name)
	if known.Revision != 0 && bytes.Equal(known.Value, l.Value()) {
		return
	}
	m.options.Catalog.PutList(name, k.revision, l)
}
