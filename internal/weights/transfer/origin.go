package transfer

import (
	"context"
	"errors"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// sourcePause is the pause after a source refused or failed.
	sourcePause = 250 * time.Millisecond
)

// originLoop takes the chunks of this process's duties from the sources.
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
			s.fetcher.options.Log.Debug().Int("Chunk", index).Err(err).Msg("source failed")
			_ = pauseJittered(ctx, sourcePause)
		}
	}
}

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

// waitTurn spreads the first pass over the origin in time, in the order of the chunks: fetched all at once,
// all chunks would arrive last, and the processes would have nothing to pass on to each other until then.
func (s *session) waitTurn(ctx context.Context, index int) error {
	originRate := s.fetcher.options.OriginBytesPerSecond
	if originRate == 0 {
		return ctx.Err()
	}
	offset := s.replica.Manifest.ChunkOffset(index)
	turn := s.started.Add(time.Duration(float64(offset) / float64(originRate) * float64(time.Second)))
	timer := time.NewTimer(time.Until(turn))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (s *session) fetchFromSource(ctx context.Context, index int) error {
	chunkCtx, cancel, part := s.begin(ctx, index)
	defer cancel()
	resumed := part.filled > 0
	filled, err := s.readSources(chunkCtx, index, part)
	if err == nil {
		err = s.finish(index, part.buf)
		if errors.Is(err, hub.ErrCorrupt) {
			s.fetcher.options.Log.Warn().Str("Version", s.pin.Version).Bool("Resumed", resumed).Err(err).Msg("corrupt chunk from a weight source")
		}
	} else if filled > 0 && !s.plan.IsHeld(index) {
		s.leave(index, partialChunk{buf: part.buf, filled: filled})
	}
	if err != nil {
		s.plan.Failed(index, true)
	}
	return err
}

// readSources reads a chunk from the first source that gives it.
func (s *session) readSources(ctx context.Context, index int, part partialChunk) (int, error) {
	err := hub.ErrNotFound
	filled := part.filled
	for _, source := range s.fetcher.options.Sources {
		filled, err = fetchRange(ctx, s.fetcher.options.Stall, source, s.fetcher.options.Pacer, s.pin.Version, s.replica.Manifest.ChunkOffset(index), part.buf, filled)
		if err == nil || ctx.Err() != nil {
			return filled, err
		}
	}
	return filled, err
}
