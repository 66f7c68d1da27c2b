package hub

import "time"

// MaxValueBytes is the size limit of a value in the configuration store, in bytes.
const MaxValueBytes = 1 << 20

// Roles of a process, as encoded in member records. An entry process receives requests and forwards them to
// upstreams; a side process runs next to each upstream.
const (
	RoleEntry = "entry"
	RoleSide  = "side"
)

// States of a member, as encoded in member records.
const (
	StateStarting = "starting"
	StateServing  = "serving"
	StateLoading  = "loading"
	// StateDetached is the state of a process that serves but does not reach the platform's store.
	StateDetached = "detached"
	StateLeaving  = "leaving"
	StateGone     = "gone"
)

// Value is one value of the configuration store with its revision.
type Value struct {
	Data     []byte
	Revision uint64
}

// LeaseID identifies a lease in the configuration store.
type LeaseID string

// VM is one entry of the platform's VM list.
type VM struct {
	Id      string
	Leaving bool
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	Version string
	// Digest is the root digest of the loaded weights, "sha256:" followed by hex digits; empty before the first load.
	Digest  string
	Running int
	Waiting int
	// Fence is the highest fencing token that the engine has accepted, 0 if the engine ignores fencing tokens.
	Fence   uint64
	Loading bool
}

// EngineOrder is a command to an engine to load weights.
type EngineOrder struct {
	Version string
	// Digest is the expected root digest of the loaded weights.
	Digest string
	// Source is the URL from which the engine reads the weights.
	Source string
	// Fence is the fencing token of the order; an engine rejects tokens lower than one that it has accepted.
	Fence uint64
}

// Pin binds a version name to one manifest, so that all VMs load the same weights for that version.
type Pin struct {
	Version string
	// Root is the root digest of the content, "sha256:" followed by hex digits.
	Root string
	// Manifest is the digest of the encoded manifest.
	Manifest string
	// Size is the content's length in bytes.
	Size int64
	// Pinned is the time at which the pin was created.
	Pinned time.Time
}

// Locality is the network distance between an entry process and an upstream.
type Locality int

// Localities in order of increasing distance.
const (
	SameDomain Locality = iota
	SameRegion
	OtherRegion
)

// Candidate is the state of one upstream that a Picker uses for its choice.
type Candidate struct {
	Locality Locality
	// Limit is the maximum number of concurrent requests that the upstream's side process admits.
	Limit int
	// Running is the estimated number of requests in progress: those of this process and those last reported
	// for other processes.
	Running int
	// Latency is the recent time to the first part of a response in seconds, 0 if unknown.
	Latency float64
	// Suspect is true if the upstream has failed or refused a request recently or is suspected to be unreachable.
	Suspect bool
	// Hash is a hash of the upstream's ID, provided for prefix affinity.
	Hash uint64
}

// Document is a named value that is replicated to every process; the highest revision replaces older ones.
type Document struct {
	Name     string
	Revision uint64
	Value    []byte
}

// Member is the membership record that a process publishes to all other processes.
type Member struct {
	Id      string
	Role    string
	Address string
	// AdminAddress is the address of the metrics and health endpoints.
	AdminAddress string
	Group        string
	Domain       string
	Region       string
	// Incarnation is the start time of the process in Unix milliseconds; it increases with each restart.
	Incarnation uint64
	// Sequence increases with each change of the record within an incarnation.
	Sequence uint64
	State    string
	// ServingVersion and ServingRoot are the version and root digest of the weights that the engine serves.
	ServingVersion string
	ServingRoot    string
	// HeldRoot is the root digest of the newest complete weights in memory.
	HeldRoot string
	// FetchingRoot is the root digest of the weights being fetched, empty when idle.
	FetchingRoot string
	// ChunksHeld and ChunksTotal are the progress of the newest weights.
	ChunksHeld  int
	ChunksTotal int
	// Limit is the maximum number of concurrent requests, Running the number of requests in progress.
	Limit   int
	Running int
	// Note explains to operators why the process is behind its target or rejects requests.
	Note string
	// RulesRevision is the revision of the rules that the process applies.
	RulesRevision uint64
	// Suspected is true if another process could not reach the member.
	// The member refutes the suspicion by publishing a record with a higher sequence.
	Suspected bool
}

// NewerThan reports whether m supersedes other. The higher incarnation wins, then the higher sequence;
// if both are equal, a suspected record supersedes an unsuspected one.
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

// Alive reports whether the member is neither suspected, leaving nor gone.
func (m *Member) Alive() bool {
	return !m.Suspected && m.State != StateGone && m.State != StateLeaving
}

// Layout lists the sources from which one member fetches the chunks of one manifest.
//
// Chunks of rank 0 are assigned to this member. Those of higher ranks are assigned to other members first and are
// fetched by this one only when they have not become available in time.
type Layout struct {
	// Neighbours lists members from which any chunk may be fetched.
	Neighbours []string
	// RemotePeers lists members in other regions, from which only RemoteChunks may be fetched.
	RemotePeers []string
	// OriginChunks lists, by rank, the chunks to fetch from the origin.
	OriginChunks [][]int
	// RemoteChunks lists, by rank, the chunks to fetch from other regions.
	RemoteChunks [][]int
}
