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
	// maxPinJitter is the maximum random delay before a pin is created. Without it, all entry processes would try to
	// create the same pin at the same time.
	maxPinJitter = 200 * time.Millisecond
	// pinRetryDelay is the delay before the next attempt to create missing pins.
	pinRetryDelay = time.Second
)

// pinVersions creates a pin for each version in the rules until ctx is done.
func (p *Entry) pinVersions(ctx context.Context) {
	log := p.journal.Logger(journal.Placement)
	for {
		changed := p.publisher.Changed()
		missing, inUse := p.unpinned()
		for _, version := range missing {
			_ = hub.Sleep(ctx, rand.N(maxPinJitter))
			result, err := p.registrar.Ensure(ctx, version, inUse)
			if err != nil {
				log.Warn().Str("Version", version).Err(err).Msg("cannot pin the version; retrying")
				continue
			}
			p.manifests.put(result.Encoded)
			p.catalog.PutDocument(result.Document)
			log.Info().Str("Version", version).Str("Root", result.Pin.Root).Int64("Bytes", result.Pin.Size).Msg("version pinned")
		}
		if len(missing) > 0 {
			_ = hub.Sleep(ctx, pinRetryDelay)
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

// unpinned returns the versions in the rules that have no pin, and all versions in the rules.
func (p *Entry) unpinned() (missing, inUse []string) {
	v := p.publisher.Current()
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

// manifests stores the manifests that this process has pinned and serves them to side processes.
type manifests struct {
	message.DRPCWeightsUnimplementedServer

	mu       sync.Mutex
	byDigest map[string][]byte
	order    []string
}

// maxManifests is the maximum number of stored manifests; the oldest one is dropped first.
const maxManifests = 16

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
	if len(m.order) > maxManifests {
		delete(m.byDigest, m.order[0])
		m.order = m.order[1:]
	}
}

// ReadManifest returns the manifest with a digest, or hub.ErrNotFound.
func (m *manifests) ReadManifest(_ context.Context, r *message.ManifestRequest) (*message.ManifestReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, ok := m.byDigest[r.GetDigest()]
	if !ok {
		return nil, fmt.Errorf("manifest %s: %w", r.GetDigest(), hub.ErrNotFound)
	}
	return &message.ManifestReply{Manifest: encoded}, nil
}
