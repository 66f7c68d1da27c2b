package stager

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

const (
	// documentManifest begins the name of the document that holds a model's newest manifest.
	documentManifest = "Manifest/"
	// rankPause is the time after which the next side process reads a manifest that nobody has told of.
	rankPause = 400 * time.Millisecond
	// sourceRetry is the pause after the origin failed.
	sourceRetry = 150 * time.Millisecond
	// sourceTimeout bounds one read of a manifest.
	sourceTimeout = 2 * time.Second
)

// manifest returns the manifest of a version. One side process reads it from the origin, twice, for a reading
// may be spoilt and nothing else vouches for it; all others learn it as a document.
func (s *Stager) manifest(ctx context.Context, model string, version uint64) ([]byte, manifest.Manifest, error) {
	turn := time.Now().Add(time.Duration(s.rank(model, version)) * rankPause)
	for {
		renewed := s.options.Catalog.DocumentsChanged()
		if d := s.options.Catalog.Document(documentManifest + model); d.Revision == version {
			m, err := manifest.Decode(d.Value, "")
			if err == nil {
				return d.Value, m, nil
			}
			s.options.Log.Error().Str("Model", model).Uint64("Version", version).Err(err).Msg("manifest told by a peer not readable")
		}
		timer := time.NewTimer(time.Until(turn))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, manifest.Manifest{}, ctx.Err()
		case <-renewed:
			timer.Stop()
			continue
		case <-timer.C:
		}
		encoded, err := s.readTwice(ctx, version)
		if err != nil {
			s.options.Log.Warn().Str("Model", model).Uint64("Version", version).Err(err).Msg("manifest not read from the origin")
			turn = time.Now().Add(sourceRetry)
			continue
		}
		s.options.Log.Info().Str("Model", model).Uint64("Version", version).Msg("manifest read from the origin")
		s.options.Catalog.PutDocument(hub.Document{Name: documentManifest + model, Revision: version, Value: encoded})
	}
}

// readTwice returns what two readings in a row agree on.
func (s *Stager) readTwice(ctx context.Context, version uint64) ([]byte, error) {
	source := s.source()
	if source == nil {
		return nil, fmt.Errorf("no origin in the desired state: %w", hub.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	name := strconv.FormatUint(version, 10)
	first, err := source.Manifest(ctx, name)
	if err != nil {
		return nil, err
	}
	second, err := source.Manifest(ctx, name)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(first, second) {
		return nil, fmt.Errorf("two readings differ: %w", hub.ErrCorrupt)
	}
	return first, nil
}

// rank returns the place of this process among the participants in hash order.
func (s *Stager) rank(model string, version uint64) int {
	rank, _ := s.place(model + "/" + strconv.FormatUint(version, 10))
	return rank
}
