package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// pinSpread spreads the entry processes' tries to make the same pin.
	pinSpread = 200 * time.Millisecond
	// pinRetry is the pause before a pin that could not be made is tried again.
	pinRetry = time.Second
)

// pinVersions makes the pins of all versions that rules name.
func (p *Entry) pinVersions(ctx context.Context) {
	log := p.journal.Logger(journal.Placement)
	for {
		changed := p.keeper.Changed()
		missing, inUse := p.unpinned()
		for _, version := range missing {
			_ = hub.Sleep(ctx, rand.N(pinSpread))
			result, err := p.registrar.Ensure(ctx, version, inUse)
			if err != nil {
				log.Warn().Str("Version", version).Err(err).Msg("version not pinned")
				continue
			}
			p.manifests.put(result.Encoded)
			p.catalog.PutDocument(result.Document)
			log.Info().Str("Version", version).Str("Root", result.Pin.Root).Int64("Bytes", result.Pin.Size).Msg("version pinned")
		}
		if len(missing) > 0 {
			_ = hub.Sleep(ctx, pinRetry)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// unpinned returns the versions that rules name, and those among them without a pin.
func (p *Entry) unpinned() (missing, inUse []string) {
	v := p.keeper.Current()
	for _, g := range v.Rules.Groups {
		if g.Version == "" {
			continue
		}
		inUse = append(inUse, g.Version)
		if _, ok := v.Pins.Find(g.Version); !ok {
			missing = append(missing, g.Version)
		}
	}
	return missing, inUse
}

// manifests keeps the manifests that this process has pinned, for side processes to read.
type manifests struct {
	message.DRPCWeightsUnimplementedServer

	mu       sync.Mutex
	byDigest map[string][]byte
	order    []string
}

// keptManifests bounds the manifests kept.
const keptManifests = 16

func newManifests() *manifests {
	return &manifests{byDigest: map[string][]byte{}}
}

func (m *manifests) put(encoded []byte) {
	if encoded == nil {
		return
	}
	digest := manifest.DigestOf(encoded)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.byDigest[digest]; ok {
		return
	}
	m.byDigest[digest] = encoded
	m.order = append(m.order, digest)
	if len(m.order) > keptManifests {
		delete(m.byDigest, m.order[0])
		m.order = m.order[1:]
	}
}

// ReadManifest returns a manifest by its digest.
func (m *manifests) ReadManifest(_ context.Context, r *message.ManifestRequest) (*message.ManifestReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, ok := m.byDigest[r.GetDigest()]
	if !ok {
		return nil, fmt.Errorf("manifest %s: %w", r.GetDigest(), hub.ErrNotFound)
	}
	return &message.ManifestReply{Manifest: encoded}, nil
}
