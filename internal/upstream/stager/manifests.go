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
	// manifestDocumentPrefix is followed by the model in the name of the document with the model's newest manifest.
	manifestDocumentPrefix = "Manifest/"
	// rankDelay is the delay, per rank, after which a side process reads a manifest that has not been replicated to it. It is
	// short because after a start of all processes the one of the lowest rank may be among the last to learn of the version.
	rankDelay = 150 * time.Millisecond
	// originRetryDelay is the delay before a retry after a failed read from the origin.
	originRetryDelay = 150 * time.Millisecond
	// manifestTimeout limits the duration of both reads of a manifest.
	manifestTimeout = 2 * time.Second
)

// manifest returns the encoded and the decoded manifest of a version. The side process with the lowest rank reads it
// from the origin and replicates it to all others as a document. It reads the manifest twice and compares the results,
// because a read may return corrupt data and no digest of the manifest is known.
func (s *Stager) manifest(ctx context.Context, model string, version uint64) ([]byte, manifest.Manifest, error) {
	readAt := time.Now().Add(time.Duration(s.rank(model, version)) * rankDelay)
	for {
		changed := s.options.Catalog.DocumentsChanged()
		if d := s.options.Catalog.Document(manifestDocumentPrefix + model); d.Revision == version {
			m, err := manifest.Decode(d.Value, "")
			if err == nil {
				return d.Value, m, nil
			}
			s.options.Log.Error().Str("Model", model).Uint64("Version", version).Err(err).Msg("manifest replicated by a peer cannot be decoded; reading it from the origin")
		}
		timer := time.NewTimer(time.Until(readAt))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, manifest.Manifest{}, ctx.Err()
		case <-changed:
			timer.Stop()
			continue
		case <-timer.C:
		}
		encoded, err := s.readTwice(ctx, version)
		if err != nil {
			s.options.Log.Warn().Str("Model", model).Uint64("Version", version).Err(err).Msg("manifest could not be read from the origin; retrying")
			readAt = time.Now().Add(originRetryDelay)
			continue
		}
		s.options.Log.Info().Str("Model", model).Uint64("Version", version).Msg("manifest read from the origin")
		s.options.Catalog.PutDocument(hub.Document{Name: manifestDocumentPrefix + model, Revision: version, Value: encoded})
	}
}

// readTwice reads a manifest twice and returns it, or hub.ErrCorrupt if the results differ.
func (s *Stager) readTwice(ctx context.Context, version uint64) ([]byte, error) {
	source := s.originClient()
	if source == nil {
		return nil, fmt.Errorf("no origin in the configuration: %w", hub.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
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
		return nil, fmt.Errorf("manifest differs between two reads: %w", hub.ErrCorrupt)
	}
	return first, nil
}

// rank returns the rank of this process in the hash order of the model and version.
func (s *Stager) rank(model string, version uint64) int {
	rank, _ := s.hashRank(model + "/" + strconv.FormatUint(version, 10))
	return rank
}
