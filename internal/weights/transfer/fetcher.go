package transfer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

const (
	defaultOriginFetches = 2

	defaultPatience = 1500 * time.Millisecond
	defaultStall    = 2 * time.Second
)

// manifestTries bounds the peers asked for a manifest before the origin is.
const manifestTries = 4

// Options are what a fetcher works with.
type Options struct {
	// Self is the ID of this process.
	Self  string
	Link  *link.Client
	Shelf *replica.Shelf
	// Pacer is the receiving direction of the VM's link.
	Pacer *pace.Pacer
	// Sources are the weight sources in order of preference.
	Sources  []hub.WeightSource
	Topology hub.Topology
	// OriginBytesPerSecond is the rate of the origin's link, 0 when unknown.
	OriginBytesPerSecond int64
	// Participants returns the members that fetch the same weights, self included, sorted by ID.
	Participants func(root string) []hub.Member
	// Peers returns the addresses that may hold a manifest.
	Peers func() []string
	// Busy reports whether live requests use the VM's link; nil stands for a link that has none.
	Busy func() bool
	// OriginFetches bounds the chunks that are fetched from the sources at once, 0 for the default.
	OriginFetches int
	// Patience is the time without anything to fetch after which the next rank takes over a duty, 0 for the default.
	Patience time.Duration
	// Stall is the longest time between two pieces of a transfer, 0 for the default.
	Stall time.Duration
	Log   *log.Logger
}

// Fetcher brings the content of a pinned version into memory.
type Fetcher struct {
	options Options
}

// NewFetcher returns a fetcher.
func NewFetcher(options Options) *Fetcher {
	options.OriginFetches = cmp.Or(options.OriginFetches, defaultOriginFetches)
	options.Patience = cmp.Or(options.Patience, defaultPatience)
	options.Stall = cmp.Or(options.Stall, defaultStall)
	return &Fetcher{options: options}
}

// Fetch returns the sealed replica of a pin; the replica with root keep stays in memory meanwhile.
// It goes on until ctx ends; hub.ErrMemoryLimit is returned at once.
func (f *Fetcher) Fetch(ctx context.Context, pin hub.Pin, keep string, started func(*replica.Replica)) (*replica.Replica, error) {
	encoded, m, err := f.manifest(ctx, pin)
	if err != nil {
		return nil, err
	}
	held, err := f.options.Shelf.Open(m, encoded, keep)
	if err != nil {
		return nil, err
	}
	started(held)
	if err := f.Complete(ctx, pin, held); err != nil {
		return nil, err
	}
	return held, nil
}

// Complete fetches the chunks that a replica lacks until its content is whole and checked, or ctx ends.
func (f *Fetcher) Complete(ctx context.Context, pin hub.Pin, held *replica.Replica) error {
	for !held.Sealed() {
		if err := newSession(f, pin, held).run(ctx); err != nil {
			return err
		}
		err := held.Seal()
		if err == nil {
			break
		}
		f.options.Log.Error().Str("Version", pin.Version).Err(err).Msg("content dropped")
		if !errors.Is(err, hub.ErrCorrupt) {
			return err
		}
	}
	return nil
}

// manifest finds the pinned manifest: from a peer, and from the sources where no peer has it.
func (f *Fetcher) manifest(ctx context.Context, pin hub.Pin) ([]byte, manifest.Manifest, error) {
	for attempt := 0; ; attempt++ {
		encoded, err := f.askManifest(ctx, pin, attempt)
		if err == nil {
			m, checkErr := checkManifest(encoded, pin.Manifest, pin.Root)
			if checkErr == nil {
				return encoded, m, nil
			}
			err = checkErr
		}
		f.options.Log.Debug().Str("Version", pin.Version).Int("Attempt", attempt).Err(err).Msg("manifest not read")
		if err := pauseJittered(ctx, 100*time.Millisecond); err != nil {
			return nil, manifest.Manifest{}, err
		}
	}
}

func (f *Fetcher) askManifest(ctx context.Context, pin hub.Pin, attempt int) ([]byte, error) {
	peers := f.options.Peers()
	if attempt%(manifestTries+1) < manifestTries && len(peers) > 0 {
		return readManifest(ctx, f.options.Stall, f.options.Link, peers[rand.IntN(len(peers))], pin.Manifest)
	}
	if len(f.options.Sources) == 0 {
		return nil, fmt.Errorf("no weight source: %w", hub.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.Stall)
	defer cancel()
	return f.options.Sources[attempt%len(f.options.Sources)].Manifest(ctx, pin.Version)
}

// pauseJittered waits between half of d and one and a half of it.
func pauseJittered(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
