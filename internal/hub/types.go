package hub

import "time"

// MaxValueBytes is the largest value that the configuration store holds, in bytes.
const MaxValueBytes = 1 << 20

// Roles of a process, as carried in member records.
const (
	RoleEntry = "entry"
	RoleSide  = "side"
)

// States of a member, as carried in member records.
const (
	StateStarting = "starting"
	StateServing  = "serving"
	StateLoading  = "loading"
	StateLeaving  = "leaving"
	StateGone     = "gone"
)

// Value is one value of the configuration store with its revision.
type Value struct {
	Data     []byte
	Revision uint64
}

// LeaseID names a lease in the configuration store.
type LeaseID string

// VM is one row of the platform's VM list.
type VM struct {
	Id      string
	Leaving bool
}

// EngineStatus is what an engine reports about itself.
type EngineStatus struct {
	Version string
	// Digest is the root digest of the loaded weights, "sha256:" and hex; empty before the first load.
	Digest  string
	Running int
	Waiting int
	// Fence is the highest fencing number that the engine accepted, 0 where it ignores them.
	Fence   uint64
	Loading bool
}

// EngineOrder tells an engine to load weights.
type EngineOrder struct {
	Version string
	// Digest is the root digest that the loaded bytes must have.
	Digest string
	// Source is the URL from which the engine reads the weights.
	Source string
	// Fence is the fencing number of the order.
	Fence uint64
}

// Pin ties a version name to the one manifest that every VM must hold.
type Pin struct {
	Version string
	// Root is the digest of the whole content, "sha256:" and hex.
	Root string
	// Manifest is the digest of the encoded manifest.
	Manifest string
	// Size is the content's length in bytes.
	Size   int64
	Pinned time.Time
}

// Locality is the distance between an entry process and an upstream.
type Locality int

// Localities from near to far.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
)

// Candidate is one upstream as the choice of an upstream sees it.
type Candidate struct {
	Locality Locality
	// Limit is the number of concurrent requests that the side process admits.
	Limit int
	// Running is the number of requests in progress that this process knows of.
	Running int
	// Latency is the recent time to the first part of an answer in seconds, 0 when unknown.
	Latency float64
	// Suspect is true where the upstream has not been heard of for a while or has just failed.
	Suspect bool
	// Hash places the candidate for prefix affinity.
	Hash uint64
}

// Document is one named value that every process holds at its highest known revision.
type Document struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Member is what a process tells of itself to all others.
type Member struct {
	Id      string
	Role    string
	Address string
	// AdminAddress is where the process serves metrics and health.
	AdminAddress string
	Group        string
	Domain       string
	Region       string
	// Incarnation grows with each start of the process, in Unix milliseconds.
	Incarnation uint64
	// Sequence grows with each change of the record within an incarnation.
	Sequence uint64
	State    string
	// ServingVersion and ServingRoot are what the engine answers from.
	ServingVersion string
	ServingRoot    string
	// HeldRoot is the root digest of the newest complete weights in memory.
	HeldRoot string
	// FetchingRoot is the root digest of the weights being fetched, empty when idle.
	FetchingRoot string
	ChunksHeld   int
	ChunksTotal  int
	// Limit is the number of concurrent requests admitted, Running the number in progress.
	Limit   int
	Running int
	// Note tells operators why the process lags or refuses.
	Note          string
	RulesRevision uint64
	// Suspected is true where another process could not reach the member.
	// The member takes it back by a record with a higher sequence.
	Suspected bool
}

// NewerThan reports whether m supersedes other: by incarnation, by sequence, and a suspicion beats the record that it is about.
func (m *Member) NewerThan(other *Member) bool {
	switch {
	case m.Incarnation != other.Incarnation:
		return m.Incarnation > other.Incarnation
	case m.Sequence != other.Sequence:
		return m.Sequence > other.Sequence
	default:
		return m.Suspected && !other.Suspected
	}
}

// Alive reports whether the member may be counted on.
func (m *Member) Alive() bool {
	return !m.Suspected && m.State != StateGone && m.State != StateLeaving
}

// Layout says from whom one process may take the chunks of one manifest.
type Layout struct {
	// Neighbours are the members whose chunks may all be taken.
	Neighbours []string
	// Crossings are members in other regions, whose chunks are taken as Crossing allows.
	Crossings []string
	// Origin lists, by rank, the chunks to take from the origin; a rank above 0 acts when those below have not.
	Origin [][]int
	// Crossing lists, by rank, the chunks to take over the link of the region.
	Crossing [][]int
}
