package stager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/weights/topology"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
)

const (
	// stagedProbe is the number of staged chunks of another version after which the rest is not looked at.
	stagedProbe = 3
	// originFetches keeps the connections of all side processes within what the origin accepts.
	originFetches = 1
	// patience is the time without anything to fetch after which others' duties are taken over, and stall the
	// longest time between two pieces: a switch leaves little time for peers that froze or were cut off.
	patience = 400 * time.Millisecond
	stall    = 700 * time.Millisecond
)

// fetch is the content of one version, on its way or held.
type fetch struct {
	version uint64
	cancel  context.CancelFunc
	// replica is nil until the manifest is known; heldAt is zero until the content is whole and checked.
	replica *replica.Replica
	heldAt  time.Time
}

// want begins the fetch of the target unless it is under way, and ends those that nobody needs any more.
func (s *Stager) want(ctx context.Context, service *directory.Service, held uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := service.Target.Version
	for version, f := range s.fetches {
		if version != target && (version <= held || !f.nearlyDone()) {
			f.cancel()
			delete(s.fetches, version)
		}
	}
	if s.fetches[target] != nil || s.options.Directory.Current().Origin() == nil {
		return
	}
	f := &fetch{version: target}
	ctx, f.cancel = context.WithCancel(ctx)
	s.fetches[target] = f
	go s.fetch(ctx, service, f)
}

// nearlyDone reports whether most of the chunks are held.
func (f *fetch) nearlyDone() bool {
	if f.replica == nil {
		return false
	}
	held, total := f.replica.Held()
	return float64(held) >= nearlyFetched*float64(total)
}

// newest returns the newest version above held whose content is whole, or nil.
func (s *Stager) newest(held uint64) *fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *fetch
	for version, f := range s.fetches {
		if version > held && !f.heldAt.IsZero() && (best == nil || version > best.version) {
			best = f
		}
	}
	return best
}

// fetch brings the content of a version into memory.
func (s *Stager) fetch(ctx context.Context, service *directory.Service, f *fetch) {
	began := time.Now()
	err := s.fetchOnce(ctx, service, f)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, context.Canceled):
		s.options.Log.Info().Uint64("Version", f.version).Msg("fetch given up for a newer version")
	case err != nil:
		s.options.Log.Error().Uint64("Version", f.version).Err(err).Msg("fetch failed")
		if s.fetches[f.version] == f {
			delete(s.fetches, f.version)
		}
	default:
		f.heldAt = time.Now()
		s.options.Log.Info().Uint64("Version", f.version).Dur("Took", time.Since(began)).Msg("weights held and checked")
	}
}

func (s *Stager) fetchOnce(ctx context.Context, service *directory.Service, f *fetch) error {
	model := service.Engine.Model
	encoded, m, err := s.manifest(ctx, model, f.version)
	if err != nil {
		return err
	}
	if len(m.Chunks) != service.Engine.Chunks {
		return fmt.Errorf("manifest has %d chunks, the desired state says %d: %w", len(m.Chunks), service.Engine.Chunks, hub.ErrCorrupt)
	}
	r, err := s.options.Cache.Open(m, encoded, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	f.replica = r
	s.mu.Unlock()
	s.takeStaged(ctx, model, r)
	fetcher := transfer.NewFetcher(transfer.Options{
		Self:                 s.options.Self,
		Link:                 s.options.Link,
		Cache:                s.options.Cache,
		Pacer:                s.options.Pacer,
		Sources:              []hub.WeightSource{s.source()},
		Topology:             topology.Swarm{},
		OriginBytesPerSecond: s.options.Directory.Current().Origin().BytesPerSecond,
		Participants:         s.participants,
		Busy:                 s.busy,
		OriginFetches:        originFetches,
		TakeoverDelay:        patience,
		StallTimeout:         stall,
		Log:                  s.options.Log,
	})
	return fetcher.Complete(ctx, hub.Pin{Version: m.Version, Root: m.Root, Size: m.Size}, r)
}

// takeStaged takes over what is staged beside the engine and has the right digests: it outlives this process.
func (s *Stager) takeStaged(ctx context.Context, model string, r *replica.Replica) {
	taken, foreign := 0, 0
	for i := range r.Manifest.Chunks {
		data, err := s.options.Engine.Staged(ctx, model, i)
		if err == nil {
			_, err = r.Put(i, data)
		}
		switch {
		case err == nil:
			taken++
		case taken == 0 && foreign >= stagedProbe:
			return
		default:
			foreign++
		}
	}
	s.options.Log.Info().Int("Taken", taken).Int("Others", foreign).Str("Version", r.Manifest.Version).Msg("staged chunks taken over")
}

// busy reports whether the engine has weights and so live requests.
func (s *Stager) busy() bool {
	r := s.report.Load()
	return r != nil && r.Held != 0
}

// source returns the origin of the service's weights, or nil. One client is kept for each origin: every client
// keeps a connection of its own, and the origin accepts few.
func (s *Stager) source() hub.WeightSource {
	snapshot := s.options.Directory.Current()
	service, origin := snapshot.Service(s.options.Service), snapshot.Origin()
	if service == nil || service.Engine == nil || origin == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origin == nil || s.originOf != *origin || s.modelOf != *service.Engine {
		s.origin, s.originOf, s.modelOf = s.options.NewSource(origin, service.Engine), *origin, *service.Engine
	}
	return s.origin
}
