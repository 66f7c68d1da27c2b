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
	// maxStagedMismatches is the number of staged chunks that are missing or have other digests after which the remaining
	// ones are not read, unless at least one has matched.
	maxStagedMismatches = 3
	// maxOriginFetches limits the concurrent fetches of one side process from the origin, so that the connections of all
	// side processes together stay within the number that the origin accepts.
	maxOriginFetches = 1
	// takeoverDelay is the time without anything to fetch after which the chunks assigned to other members are fetched
	// too, and stallTimeout the maximum time between two parts of a transfer. Both are short because a version switch
	// leaves little time to wait for peers that froze or became unreachable.
	takeoverDelay = 400 * time.Millisecond
	stallTimeout  = 700 * time.Millisecond
	// maxOlderWait is the maximum time for which the transfer of a version waits for those of older ones.
	maxOlderWait = 500 * time.Millisecond
)

// fetch is the state of the transfer of one version and holds its content.
type fetch struct {
	version uint64
	// began is the time at which this process learned that the version is the target.
	began  time.Time
	cancel context.CancelFunc
	// replica is nil until the manifest is known.
	replica *replica.Replica
	// heldAt is the time at which the content was complete and verified, zero before that.
	heldAt time.Time
	// ended is closed when the transfer has ended, successfully or not.
	ended chan struct{}
}

// startFetch starts fetching the target unless it is being fetched or held already. It drops other versions that are
// not newer than held or of which less than keepFetchPart has been fetched.
func (s *Stager) startFetch(ctx context.Context, service *directory.Service, held uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := service.Target.Version
	for version, f := range s.fetches {
		if version != target && (version <= held || !f.mostlyFetched()) {
			f.cancel()
			delete(s.fetches, version)
		}
	}
	if s.fetches[target] != nil || s.options.Directory.Current().Origin() == nil {
		return
	}
	f := &fetch{version: target, began: time.Now(), ended: make(chan struct{})}
	ctx, f.cancel = context.WithCancel(ctx)
	s.fetches[target] = f
	go s.fetch(ctx, service, f)
}

// cancelFetches ends all transfers and drops their content from the candidates for a load.
func (s *Stager) cancelFetches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for version, f := range s.fetches {
		f.cancel()
		delete(s.fetches, version)
	}
}

// mostlyFetched reports whether at least keepFetchPart of the chunks are held.
func (f *fetch) mostlyFetched() bool {
	if f.replica == nil {
		return false
	}
	held, total := f.replica.Held()
	return float64(held) >= keepFetchPart*float64(total)
}

// newestComplete returns the newest version above held whose content is complete, or nil.
func (s *Stager) newestComplete(held uint64) *fetch {
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

// fetch fetches the content of a version into memory and records the outcome in f.
func (s *Stager) fetch(ctx context.Context, service *directory.Service, f *fetch) {
	defer close(f.ended)
	err := s.fetchOnce(ctx, service, f)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, context.Canceled):
		s.options.Log.Info().Uint64("Version", f.version).Msg("fetch cancelled; version is no longer needed")
	case err != nil:
		s.options.Log.Error().Uint64("Version", f.version).Err(err).Msg("fetch failed; retrying while the version is the target")
		if s.fetches[f.version] == f {
			delete(s.fetches, f.version)
		}
	default:
		f.heldAt = time.Now()
		s.options.Log.Info().Uint64("Version", f.version).Dur("Took", time.Since(f.began)).Msg("weights held and checked")
	}
}

func (s *Stager) fetchOnce(ctx context.Context, service *directory.Service, f *fetch) error {
	model := service.Engine.Model
	encoded, m, err := s.manifest(ctx, model, f.version)
	if err != nil {
		return err
	}
	if len(m.Chunks) != service.Engine.Chunks {
		return fmt.Errorf("manifest has %d chunks, configuration requires %d: %w", len(m.Chunks), service.Engine.Chunks, hub.ErrCorrupt)
	}
	r, err := s.options.Cache.Open(m, encoded, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	f.replica = r
	s.mu.Unlock()
	s.reuseStaged(ctx, model, r)
	s.awaitOlder(ctx, f)
	fetcher := transfer.NewFetcher(transfer.Options{
		Self:                 s.options.Self,
		Link:                 s.options.Link,
		Cache:                s.options.Cache,
		Pacer:                s.options.Pacer,
		Sources:              []hub.WeightSource{s.originClient()},
		Topology:             topology.Swarm{},
		Since:                f.began,
		OriginBytesPerSecond: s.options.Directory.Current().Origin().BytesPerSecond,
		Participants:         s.participants,
		Busy:                 s.busy,
		OriginFetches:        maxOriginFetches,
		TakeoverDelay:        takeoverDelay,
		StallTimeout:         stallTimeout,
		Log:                  s.options.Log,
	})
	return fetcher.Complete(ctx, hub.Pin{Version: m.Version, Root: m.Root, Size: m.Size}, r)
}

// awaitOlder waits until the transfers of older versions have ended, but at most until maxOlderWait after the version
// became the target. What is left of an older version comes first: if the origin fails, one complete version is worth more
// than parts of two.
func (s *Stager) awaitOlder(ctx context.Context, f *fetch) {
	ctx, cancel := context.WithDeadline(ctx, f.began.Add(maxOlderWait))
	defer cancel()
	for _, older := range s.olderFetches(f.version) {
		select {
		case <-older.ended:
		case <-ctx.Done():
			return
		}
	}
}

// olderFetches returns the fetches of versions before the given one.
func (s *Stager) olderFetches(version uint64) []*fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*fetch
	for v, f := range s.fetches {
		if v < version {
			out = append(out, f)
		}
	}
	return out
}

// reuseStaged copies the chunks with matching digests from the engine's staging area into r. The staging area survives
// a restart of this process.
func (s *Stager) reuseStaged(ctx context.Context, model string, r *replica.Replica) {
	reused, mismatched := 0, 0
	for i := range r.Manifest.Chunks {
		data, err := s.options.Engine.Staged(ctx, model, i)
		if err == nil {
			_, err = r.Put(i, data)
		}
		switch {
		case err == nil:
			reused++
		case reused == 0 && mismatched >= maxStagedMismatches:
			return
		default:
			mismatched++
		}
	}
	s.options.Log.Info().Int("Taken", reused).Int("Others", mismatched).Str("Version", r.Manifest.Version).Msg("staged chunks taken over")
}

// busy reports whether the engine holds weights and may therefore have requests in progress.
func (s *Stager) busy() bool {
	r := s.report.Load()
	return r != nil && r.Held != 0
}

// originClient returns the client of the origin of the service's weights, or nil if the configuration names none. The
// client is reused until the configuration changes: every client keeps its own connection, and the origin accepts few.
func (s *Stager) originClient() hub.WeightSource {
	snapshot := s.options.Directory.Current()
	service, origin := snapshot.Service(s.options.Service), snapshot.Origin()
	if service == nil || service.Engine == nil || origin == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origin == nil || s.originConfig != *origin || s.originModel != *service.Engine {
		s.origin, s.originConfig, s.originModel = s.options.NewSource(origin, service.Engine), *origin, *service.Engine
	}
	return s.origin
}
