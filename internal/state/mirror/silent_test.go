package mirror_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

const (
	// callTimeout is the time that the client of the platform's store adds to that for which a watch waits.
	callTimeout = 1500 * time.Millisecond
	// listTime is the time for a new connection to the store and a listing.
	listTime = 300 * time.Millisecond
	// contactTime is the time after a disturbance at which changes must be known as if there had been none.
	contactTime = 3 * time.Second
)

// silencedSource is a store whose open watches go silent, while new calls work.
type silencedSource struct {
	*source
	// silences counts the times at which that happens.
	silences atomic.Int64
}

func (s *silencedSource) List(ctx context.Context, prefix string) (hub.Listing, error) {
	_ = hub.Sleep(ctx, listTime)
	return s.source.List(ctx, prefix)
}

func (s *silencedSource) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (hub.Listing, error) {
	before, timeout := s.silences.Load(), time.Now().Add(wait+callTimeout)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		listing hub.Listing
		err     error
	}
	done := make(chan result, 1)
	go func() {
		l, err := s.source.Follow(ctx, prefix, after, wait)
		done <- result{l, err}
	}()
	select {
	case r := <-done:
		if s.silences.Load() == before {
			return r.listing, r.err
		}
	case <-ctx.Done():
		return hub.Listing{}, ctx.Err()
	}
	_ = hub.Sleep(ctx, time.Until(timeout))
	return hub.Listing{}, hub.ErrUnavailable
}

// Guards against changes that become known late after open connections to the store have gone silent, at whatever moment.
func TestChangesAreKnownSoonAfterWatchesGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := &silencedSource{source: newSource()}, catalog.New(1)
		s.put(desired.ConfigurationKey, "first")
		defer withTestMirror(s, c)()
		time.Sleep(time.Second)
		for round := range 100 {
			time.Sleep(10*time.Second + time.Duration(round)*30*time.Millisecond)
			s.silences.Add(1)
			value := strconv.Itoa(round)
			s.put(desired.ConfigurationKey, value)
			time.Sleep(contactTime)
			assert.Equal(t, string(c.Document(mirror.DocumentConfiguration).Value), value, "round %d", round)
		}
	})
}
