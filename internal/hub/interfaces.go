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
	// Watch waits until the revision of key is greater than after and returns its value,
	// or returns ErrNotFound if that does not happen within wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// StoreWriter changes the platform's configuration store.
type StoreWriter interface {
	// CompareAndSwap writes value if the revision of key is base, where 0 means that the key is absent.
	// It returns the new revision, or ErrConflict, ErrTooLarge, or ErrUnavailable if the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, base uint64, value []byte, lease LeaseID) (uint64, error)
	// Grant creates a lease that expires unless KeepAlive is called within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseLost.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Store is the platform's configuration store.
type Store interface {
	StoreReader
	StoreWriter
}

// WeightSource provides the published weights by version name.
type WeightSource interface {
	// Manifest returns the encoded manifest that is currently published as version.
	Manifest(ctx context.Context, version string) ([]byte, error)
	// Read returns a reader of length bytes of the content of version, starting at offset.
	Read(ctx context.Context, version string, offset, length int64) (io.ReadCloser, error)
}

// VMLister reads the platform's list of VMs, which may be out of date.
type VMLister interface {
	// VMs returns all VMs on the list.
	VMs(ctx context.Context) ([]VM, error)
}

// Engine is the client of an upstream's model engine.
type Engine interface {
	// Status returns the current status of the engine.
	Status(ctx context.Context) (EngineStatus, error)
	// Load orders the engine to load weights. It returns once the engine has accepted the order,
	// or ErrFenced if the engine has rejected its fencing token.
	Load(ctx context.Context, order EngineOrder) error
}

// Candidates is the list of upstreams from which a Picker chooses.
type Candidates interface {
	// Len returns the number of candidates.
	Len() int
	// At returns the current state of candidate i.
	At(i int) Candidate
}

// Picker is a load-balancing algorithm. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the indexes of the best and the second-best candidate, each -1 if there is none.
	// affinity is a hash of the beginning of the prompt, 0 for requests without affinity.
	Pick(c Candidates, affinity uint64) (chosen, runnerUp int)
}

// TargetAges holds the ages of target versions, which processes tell each other. Implementations are safe for concurrent use.
type TargetAges interface {
	// Ages returns the ages to tell a process that has just started or needs them.
	Ages() []TargetAge
	// RecentAges returns the ages to tell any process: those of the versions that may not have replaced all older ones yet.
	RecentAges() []TargetAge
	// NeedsAges reports whether other processes may know greater ages than this process.
	NeedsAges() bool
	// LearnAges takes ages that another process has told, as of a time between notBefore and notAfter.
	LearnAges(ages []TargetAge, notBefore, notAfter time.Time)
}

// Topology determines from which members each member fetches which chunks of the weights.
type Topology interface {
	// Layout returns the layout of the member self for the weights with the given root digest.
	// participants are sorted by ID and include self.
	Layout(root string, self string, participants []Member, chunks int) Layout
}
