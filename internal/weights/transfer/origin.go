package transfer

import (
	"context"
	"errors"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// sourceRetryDelay is the mean delay after a failed fetch from the sources.
	sourceRetryDelay = 250 * time.Millisecond
)

// originLoop fetches the chunks that the plan allows from the sources until ctx is done or all chunks are held.
func (s *session) originLoop(ctx context.Context) {
	for ctx.Err() == nil {
		index, ok := s.plan.NextFromOrigin(time.Now())
		if !ok {
			if !s.waitOrigin(ctx) {
				return
			}
			continue
		}
		if err := s.waitTurn(ctx, index); err != nil {
			return
		}
		if err := s.fetchFromSource(ctx, index); err != nil {
			s.fetcher.options.Log.Debug().Int("Chunk", index).Err(err).Msg("could not fetch chunk from weight sources; retrying later")
			_ = sleepJittered(ctx, sourceRetryDelay)
		}
	}
}

// waitOrigin waits until the plan may have a chunk to fetch from the origin. It returns false if the session has ended.
func (s *session) waitOrigin(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.plan.Done():
		return false
	case <-s.plan.OriginWake():
		return true
	}
}

// waitTurn delays the fetch of a chunk until the origin could have sent all chunks before it. Without this delay, all
// chunks would be fetched at the same time and complete late, and until then the processes would have nothing to send
// to each other.
func (s *session) waitTurn(ctx context.Context, index int) error {
	originRate := s.fetcher.options.OriginBytesPerSecond
	if originRate == 0 {
		return ctx.Err()
	}
	offset := s.replica.Manifest.ChunkOffset(index)
	turn := s.turnsFrom.Add(time.Duration(float64(offset) / float64(originRate) * float64(time.Second)))
	timer := time.NewTimer(time.Until(turn))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// fetchFromSource fetches one chunk from the sources and adds it to the replica. If the transfer fails, it keeps the
// bytes received.
func (s *session) fetchFromSource(ctx context.Context, index int) error {
	chunkCtx, cancel, part := s.beginFetch(ctx, index)
	defer cancel()
	resumed := part.filled > 0
	filled, err := s.readSources(chunkCtx, index, part)
	if err == nil {
		err = s.finishFetch(index, part.buf)
		if errors.Is(err, hub.ErrCorrupt) {
			s.fetcher.options.Log.Warn().Str("Version", s.pin.Version).Bool("Resumed", resumed).Err(err).Msg("chunk from weight source does not match its digest; discarding it")
		}
	} else if filled > 0 && !s.plan.IsHeld(index) {
		s.keepPartial(index, partialChunk{buf: part.buf, filled: filled})
	}
	if err != nil {
		s.plan.MarkFailed(index, true)
	}
	return err
}

// readSources tries the sources in order until one has provided the rest of the chunk; each resumes where the previous
// one failed. It returns the number of bytes filled, also in case of an error.
func (s *session) readSources(ctx context.Context, index int, part partialChunk) (int, error) {
	err := hub.ErrNotFound
	filled := part.filled
	for _, source := range s.fetcher.options.Sources {
		filled, err = fetchRange(ctx, s.fetcher.options.StallTimeout, source, s.fetcher.options.Pacer, s.pin.Version, s.replica.Manifest.ChunkOffset(index), part.buf, filled)
		if err == nil || ctx.Err() != nil {
			return filled, err
		}
	}
	return filled, err
}
