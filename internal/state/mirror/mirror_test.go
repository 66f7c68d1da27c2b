package mirror_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// source is an in-memory store in which tests inject faults.
type source struct {
	mu       sync.Mutex
	items    map[string]hub.Item
	revision uint64
	// missChanges makes Follow return no changes, down makes every call fail.
	missChanges, down bool
	// historyLost is the set of prefixes for which the next call of Follow returns ErrHistoryLost.
	historyLost map[string]bool
}

func newSource() *source { return &source{items: map[string]hub.Item{}, revision: 1} }

func (s *source) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = hub.Item{Key: key, Value: []byte(value), Revision: s.revision}
}

func (s *source) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = hub.Item{Key: key, Revision: s.revision, Deleted: true}
}

// set calls f with the lock held.
func (s *source) set(f func(s *source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *source) List(_ context.Context, prefix string) (hub.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return hub.Listing{}, hub.ErrUnavailable
	}
	l := hub.Listing{Revision: s.revision}
	for key, i := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && !i.Deleted {
			l.Items = append(l.Items, i)
		}
	}
	return l, nil
}

func (s *source) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (hub.Listing, error) {
	deadline := time.Now().Add(wait)
	for {
		l, err := s.changes(prefix, after)
		if err != nil || len(l.Items) > 0 || !time.Now().Before(deadline) {
			return l, err
		}
		if err := hub.Sleep(ctx, 10*time.Millisecond); err != nil {
			return l, err
		}
	}
}

func (s *source) changes(prefix string, after uint64) (hub.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return hub.Listing{}, hub.ErrUnavailable
	case s.historyLost[prefix]:
		delete(s.historyLost, prefix)
		return hub.Listing{}, fmt.Errorf("follow: %w", hub.ErrHistoryLost)
	case s.missChanges:
		return hub.Listing{Revision: s.revision}, nil
	}
	l := hub.Listing{Revision: s.revision}
	for key, i := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && i.Revision > after {
			l.Items = append(l.Items, i)
		}
	}
	return l, nil
}

// withTestMirror starts a mirror of s and returns the function that stops it.
func withTestMirror(s hub.StateSource, c *catalog.Catalog) (stop func()) {
	m := mirror.New(mirror.Options{Source: s, Decoder: desired.Decoder{}, Catalog: c, Log: journal.Discard().Logger(journal.State)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); m.Run(ctx) }()
	return func() { cancel(); <-done }
}

// keysOf returns the keys in a document.
func keysOf(t *testing.T, c *catalog.Catalog, document string) []string {
	t.Helper()
	entries, err := listing.Decode(c.Document(document).Value)
	assert.NilError(t, err)
	keys := []string{}
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	return keys
}

func TestChangesAreMirrored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		s.put(desired.ConfigurationKey, "one")
		s.put(desired.UpstreamPrefix+"a", "x")
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		assert.Equal(t, string(c.Document(mirror.DocumentConfiguration).Value), "one")
		s.put(desired.ConfigurationKey, "two")
		s.put(desired.UpstreamPrefix+"b", "y")
		s.remove(desired.UpstreamPrefix + "a")
		s.put(desired.EvacuatePrefix+"z", "{}")
		time.Sleep(time.Second)
		assert.Equal(t, string(c.Document(mirror.DocumentConfiguration).Value), "two")
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{desired.UpstreamPrefix + "b"})
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentDirectives), []string{desired.EvacuatePrefix + "z"})
	})
}

// Guards against keys that stay in the document after their removal: if the store no longer keeps the removal in its
// history, only a new listing shows it.
func TestRelistAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		s.put(desired.UpstreamPrefix+"a", "x")
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		s.set(func(s *source) {
			delete(s.items, desired.UpstreamPrefix+"a")
			s.revision++
			s.historyLost = map[string]bool{desired.UpstreamPrefix: true, desired.OperatorPrefix: true}
		})
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{})
	})
}

// Guards against a watch that misses changes without an error: the periodic listing must find them.
func TestRelistRecoversMissedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		s.set(func(s *source) { s.missChanges = true })
		s.put(desired.UpstreamPrefix+"a", "x")
		time.Sleep(15 * time.Second)
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{desired.UpstreamPrefix + "a"})
	})
}

// Guards against a mirror whose watch misses changes replacing the newer document of another process with its own
// older one.
func TestNewerCopyOfAPeerIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		s.put(desired.UpstreamPrefix+"a", "x")
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		s.set(func(s *source) { s.missChanges = true })
		c.PutDocument(hub.Document{Name: mirror.DocumentUpstreams, Revision: 50, Value: []byte(`[{"Key":"upstreams/b","Value":"eA==","Revision":50}]`)})
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{desired.UpstreamPrefix + "b"})
		assert.Equal(t, c.Document(mirror.DocumentUpstreams).Revision, uint64(50))
	})
}

// Guards against keys that stay in the document if they were removed while the store did not respond.
func TestRelistAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		s.put(desired.UpstreamPrefix+"a", "x")
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		s.set(func(s *source) { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func(s *source) { delete(s.items, desired.UpstreamPrefix+"a"); s.revision++; s.down = false })
		time.Sleep(time.Second)
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{})
	})
}

// Guards against upstreams that count as gone because their entries expired while the store was down, and against a moment
// without an answer that is taken for such an outage.
func TestReturnAfterAnOutageIsPublished(t *testing.T) {
	for name, test := range map[string]struct {
		outage    time.Duration
		changed   uint64
		published bool
	}{"moment": {time.Second, 1, false}, "outage": {5 * time.Second, 1, true}, "outage without a change": {5 * time.Second, 0, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, c := newSource(), catalog.New(1)
				s.put(desired.UpstreamPrefix+"a", "x")
				defer withTestMirror(s, c)()
				time.Sleep(10 * time.Second)
				assert.Equal(t, c.Document(mirror.DocumentReturn).Revision, uint64(0))
				s.put(desired.UpstreamPrefix+"a", "y")
				time.Sleep(50 * time.Millisecond)
				for range 3 {
					told := c.Document(mirror.DocumentReturn).Revision
					s.set(func(s *source) { s.down = true })
					time.Sleep(test.outage)
					s.set(func(s *source) { s.revision += test.changed; s.down = false })
					time.Sleep(time.Second)
					assert.Equal(t, c.Document(mirror.DocumentReturn).Revision > told, test.published)
					if !test.published {
						return
					}
				}
			})
		})
	}
}

// Guards against a time of grace that begins anew with each process that reaches the store again.
func TestReturnIsPublishedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		s.put(desired.UpstreamPrefix+"a", "x")
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		s.set(func(s *source) { s.down = true })
		time.Sleep(5 * time.Second)
		s.put(desired.UpstreamPrefix+"a", "y")
		first := s.revision
		c.PutDocument(hub.Document{Name: mirror.DocumentReturn, Revision: first})
		s.put(desired.UpstreamPrefix+"a", "z")
		s.set(func(s *source) { s.down = false })
		time.Sleep(time.Second)
		assert.Equal(t, c.Document(mirror.DocumentUpstreams).Revision, s.revision)
		assert.Equal(t, c.Document(mirror.DocumentReturn).Revision, first)
	})
}

// losingSource is a store that never keeps the requested changes.
type losingSource struct {
	*source
	lists int
}

func (s *losingSource) List(ctx context.Context, prefix string) (hub.Listing, error) {
	if prefix == desired.UpstreamPrefix {
		s.lists++
	}
	_ = hub.Sleep(ctx, 5*time.Millisecond)
	return s.source.List(ctx, prefix)
}

func (s *losingSource) Follow(context.Context, string, uint64, time.Duration) (hub.Listing, error) {
	return hub.Listing{}, hub.ErrHistoryLost
}

// Guards against a loop of listings and watches without a pause, which uses up the calls that the store allows.
func TestHistoryThatIsAlwaysLostIsNotListedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := &losingSource{source: newSource()}, catalog.New(1)
		stop := withTestMirror(s, c)
		time.Sleep(10 * time.Second)
		stop()
		assert.Assert(t, s.lists > 10 && s.lists <= 70, "%d listings in 10 s", s.lists)
	})
}

// Guards against a huge entry of another writer being replicated to all processes.
func TestHugeEntriesAreNotReplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newSource(), catalog.New(1)
		s.put(desired.UpstreamPrefix+"a", "x")
		s.put(desired.UpstreamPrefix+"b", strings.Repeat("x", 1<<20))
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{desired.UpstreamPrefix + "a"})
		s.put(desired.UpstreamPrefix+"b", "y")
		time.Sleep(time.Second)
		assert.DeepEqual(t, keysOf(t, c, mirror.DocumentUpstreams), []string{desired.UpstreamPrefix + "a", desired.UpstreamPrefix + "b"})
	})
}
