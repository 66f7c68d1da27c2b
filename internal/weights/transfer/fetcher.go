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

	defaultTakeoverDelay = 1500 * time.Millisecond
	defaultStallTimeout  = 2 * time.Second
)

// maxPeerAttempts is the number of attempts to read a manifest from peers before each attempt at a weight source.
const maxPeerAttempts = 4

// Options configure a Fetcher.
type Options struct {
	// Self is the ID of this process.
	Self string
	// Link opens the connections to peers.
	Link *link.Client
	// Cache holds the replicas.
	Cache *replica.Cache
	// Pacer limits the rate of incoming weights on the VM's network link.
	Pacer *pace.Pacer
	// Sources lists the weight sources in order of preference.
	Sources []hub.WeightSource
	// Topology determines the sources of each chunk.
	Topology hub.Topology
	// Since is the time from which the turns of the chunks at the origin are counted; zero means the start of the fetch.
	// Processes that learn of a version at the same time but of its manifest at different times agree on the turns by it.
	Since time.Time
	// OriginBytesPerSecond is the bandwidth of the origin's network link, 0 if unknown.
	OriginBytesPerSecond int64
	// Participants returns the members, including this one, that fetch the weights with a root digest, sorted by ID.
	Participants func(root string) []hub.Member
	// Peers returns the addresses of processes that may hold a manifest.
	Peers func() []string
	// Busy reports whether live requests currently use the VM's network link; nil if they never do.
	Busy func() bool
	// OriginFetches is the maximum number of concurrent fetches from the sources, 0 for the default.
	OriginFetches int
	// TakeoverDelay is the time without any chunk to fetch after which this process also fetches the chunks of its next
	// rank, 0 for the default.
	TakeoverDelay time.Duration
	// StallTimeout is the maximum time between two pieces of a transfer, 0 for the default.
	StallTimeout time.Duration
	Log          *log.Logger
}

// Fetcher fetches the content of pinned versions into memory.
type Fetcher struct {
	options Options
}

// NewFetcher returns a fetcher with the given options.
func NewFetcher(options Options) *Fetcher {
	options.OriginFetches = cmp.Or(options.OriginFetches, defaultOriginFetches)
	options.TakeoverDelay = cmp.Or(options.TakeoverDelay, defaultTakeoverDelay)
	options.StallTimeout = cmp.Or(options.StallTimeout, defaultStallTimeout)
	return &Fetcher{options: options}
}

// Fetch fetches the weights of a pin and returns their sealed replica. It calls started with the replica before it
// fetches the first chunk. The replica with the root digest keep is not evicted to make room.
// Failed transfers are retried until ctx is done; if the weights do not fit into memory, Fetch returns an error that
// wraps hub.ErrMemoryLimit at once.
func (f *Fetcher) Fetch(ctx context.Context, pin hub.Pin, keep string, started func(*replica.Replica)) (*replica.Replica, error) {
	encoded, m, err := f.manifest(ctx, pin)
	if err != nil {
		return nil, err
	}
	r, err := f.options.Cache.Open(m, encoded, keep)
	if err != nil {
		return nil, err
	}
	started(r)
	if err := f.Complete(ctx, pin, r); err != nil {
		return nil, err
	}
	return r, nil
}

// Complete fetches the missing chunks of a replica until its content is complete and verified, or ctx is done.
func (f *Fetcher) Complete(ctx context.Context, pin hub.Pin, r *replica.Replica) error {
	for !r.Sealed() {
		if err := newSession(f, pin, r).run(ctx); err != nil {
			return err
		}
		err := r.Seal()
		if err == nil {
			break
		}
		f.options.Log.Error().Str("Version", pin.Version).Err(err).Msg("fetched content failed verification; fetching it again if it is corrupt")
		if !errors.Is(err, hub.ErrCorrupt) {
			return err
		}
	}
	return nil
}

// manifest reads the pinned manifest from peers and, if they do not provide it, from the sources.
// It retries until ctx is done.
func (f *Fetcher) manifest(ctx context.Context, pin hub.Pin) ([]byte, manifest.Manifest, error) {
	for attempt := 0; ; attempt++ {
		encoded, err := f.tryManifest(ctx, pin, attempt)
		if err == nil {
			m, checkErr := checkManifest(encoded, pin.Manifest, pin.Root)
			if checkErr == nil {
				return encoded, m, nil
			}
			err = checkErr
		}
		f.options.Log.Debug().Str("Version", pin.Version).Int("Attempt", attempt).Err(err).Msg("could not read manifest; retrying")
		if err := sleepJittered(ctx, 100*time.Millisecond); err != nil {
			return nil, manifest.Manifest{}, err
		}
	}
}

// tryManifest makes one attempt to read the manifest: maxPeerAttempts at random peers, then one at a source, and so on.
func (f *Fetcher) tryManifest(ctx context.Context, pin hub.Pin, attempt int) ([]byte, error) {
	peers := f.options.Peers()
	if attempt%(maxPeerAttempts+1) < maxPeerAttempts && len(peers) > 0 {
		return readManifest(ctx, f.options.StallTimeout, f.options.Link, peers[rand.IntN(len(peers))], pin.Manifest)
	}
	if len(f.options.Sources) == 0 {
		return nil, fmt.Errorf("no weight source is configured: %w", hub.ErrNotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.StallTimeout)
	defer cancel()
	return f.options.Sources[attempt%len(f.options.Sources)].Manifest(ctx, pin.Version)
}

// sleepJittered sleeps for a random time between 0.5 d and 1.5 d, or returns ctx.Err() if ctx is done first.
func sleepJittered(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
