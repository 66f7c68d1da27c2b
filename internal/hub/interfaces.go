package hub

import (
	"context"
	"io"
	"time"
)

// StoreReader reads the platform's configuration store.
type StoreReader interface {
	// Get returns the value of key, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Value, error)
	// Watch returns the value of key once its revision is above after, or ErrNotFound when wait passes.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// StoreWriter changes the platform's configuration store.
type StoreWriter interface {
	// CompareAndSwap writes value if the revision of key is base (0: absent) and returns the new revision,
	// ErrConflict, ErrTooLarge, or ErrUnavailable when it is unknown whether the write took effect.
	CompareAndSwap(ctx context.Context, key string, base uint64, value []byte, lease LeaseID) (uint64, error)
	// Grant creates a lease that lapses after ttl without KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease, or returns ErrLeaseLost.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes the keys written under it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Store is the platform's configuration store.
type Store interface {
	StoreReader
	StoreWriter
}

// WeightSource serves the published weights by version name.
type WeightSource interface {
	// Manifest returns the encoded manifest that is now published under version.
	Manifest(ctx context.Context, version string) ([]byte, error)
	// Read opens length bytes of the content of version from offset.
	Read(ctx context.Context, version string, offset, length int64) (io.ReadCloser, error)
}

// VMLister reads the platform's lagging list of VMs.
type VMLister interface {
	// VMs returns the listed VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Engine is an upstream's model engine.
type Engine interface {
	// Status returns what the engine reports about itself.
	Status(ctx context.Context) (EngineStatus, error)
	// Load orders the engine to load weights and returns when it has taken the order, or ErrFenced.
	Load(ctx context.Context, order EngineOrder) error
}

// Candidates are the upstreams among which a Picker chooses.
type Candidates interface {
	// Len returns their number.
	Len() int
	// At returns one of them as it is now.
	At(i int) Candidate
}

// Picker chooses an upstream among candidates; implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen candidate and of the runner-up, each -1 where there is none.
	Pick(c Candidates, affinity uint64) (chosen, other int)
}

// Topology lays out who takes which chunk from whom.
type Topology interface {
	// Layout returns the layout for self among participants, which are sorted by ID and include self.
	Layout(root string, self string, participants []Member, chunks int) Layout
}
