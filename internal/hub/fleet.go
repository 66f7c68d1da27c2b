package hub

import (
	"net/netip"
	"time"
)

// RouteKind determines whether the requests of a route may be retried.
type RouteKind int

// Route kinds.
const (
	// AtMostOnce requests run at no more than one upstream.
	AtMostOnce RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events; they run at most once unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k RouteKind) String() string {
	return [...]string{"at-most-once", "idempotent", "stream"}[k]
}

// Configuration is the operator's desired state.
type Configuration struct {
	// Version increases with each change that the operator makes.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   RequestLimits
}

// OlderThan reports whether the desired state is older than other, in place of which it must not be adopted.
func (c *Configuration) OlderThan(other *Configuration) bool { return c.Version < other.Version }

// Route maps the requests that match a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for its first event in a stream.
	Objective time.Duration
	// MaxPause is the objective for the interval between two events of a stream; 0 for other kinds.
	MaxPause time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Regions lists the regions in which the requests may be served; empty means all.
	Regions []string
}

// Retryable reports whether a request may be sent again after it may already have run at an upstream.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of upstreams.
type Service struct {
	Name string
	// ColdPerSecond limits the requests per second sent to an upstream while it is cold; 0 means no limit.
	ColdPerSecond float64
	// MaxConnections is the number of connections that each upstream accepts from all entry processes together; 0 means no
	// limit.
	MaxConnections int
	// Engine is the performance model of the service's engines, nil for a plain service.
	Engine *EngineModel
	// Origin is set only for the service from which the published weights are read.
	Origin *Origin
}

// Origin is the server that publishes weights.
type Origin struct {
	Address string
	// BytesPerSecond is the bandwidth of its network link.
	BytesPerSecond int64
}

// EngineModel describes the model that an engine loads and the engine's expected performance.
type EngineModel struct {
	Model string
	// Slots is the number of requests that the engine runs concurrently.
	Slots int
	// ReadPerSecond is the number of prompt tokens that the engine processes per second.
	ReadPerSecond float64
	// Pass is the time that an engine of normal speed takes from one event of its streams to the next while it reads no prompt.
	Pass time.Duration
	// TokensPerPass is the number of tokens that a pass adds to each response, and so of each event.
	TokensPerPass int
	// UsualPrompt and UsualResponse are the mean lengths of prompts and responses in tokens.
	UsualPrompt   int
	UsualResponse int
	Layers        int
	Chunks        int
	ChunkBytes    int
}

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	Regions     []string
}

// RequestLimits are the limits on a caller's requests.
type RequestLimits struct {
	MaxBodyBytes int64
}

// Instance is one run of an upstream, from start to exit, as listed in the platform's store.
type Instance struct {
	Id      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving is true while the upstream drains: it finishes its requests and accepts no new ones.
	Leaving bool
	// Cold is the remaining warm-up time of the upstream when it wrote its entry; 0 once it is warm.
	Cold time.Duration
	// Born is the time at which the upstream started, in Unix milliseconds.
	Born int64
	// Sequence is the sequence number of the entry since Born.
	Sequence uint64
	// Version is the model version of the loaded layers, counted from the first layer; 0 if none is loaded.
	Version uint64
	// Layers is the number of contiguous loaded layers from the first one, -1 if the upstream does not list its layers.
	Layers int
}

// ModelTarget is the version of a model that every upstream should load.
type ModelTarget struct {
	Model   string
	Version uint64
}

// TargetAge is the age of a target version, as one process tells it to another.
type TargetAge struct {
	Model   string
	Version uint64
	Age     time.Duration
	// Assumed is true if neither the process that tells the age, nor one that has told it, saw the version arrive.
	Assumed bool
}

// Directives are the operator's instructions that are stored apart from the configuration.
type Directives struct {
	// Evacuated lists the failure domains that receive no new requests.
	Evacuated []string
	Targets   []ModelTarget
}

// UpstreamReport is the state and load that an upstream reports.
type UpstreamReport struct {
	// Held is the model version of the loaded layers, counted from the first layer; 0 if none is loaded.
	Held uint64
	// Layers is the number of contiguous loaded layers from the first one, -1 if the upstream does not list its layers.
	Layers int
	// Fetched is the newest version that the upstream's side process has fetched completely, 0 if there is none.
	Fetched uint64
	// Busy is true while the upstream carries out a load order.
	Busy bool
	// Leaving is true if the upstream states that it is leaving.
	Leaving bool `json:",omitempty"`
	// LoadIn is the time until the side process orders the next load, 0 if none is planned.
	LoadIn time.Duration `json:",omitzero"`
	// RateLimit is the rate limit that the upstream names.
	RateLimit RateLimit `json:",omitzero"`
	// Orders is the number of load orders accepted since Born.
	Orders uint64
	// Waiting and Running are the numbers of queued and of running requests.
	Waiting int
	Running int
	// Pace is the ratio of the actual processing time to that of the EngineModel; above 1 the upstream is slower.
	Pace float64
	// Born is the time at which the upstream started, in Unix milliseconds.
	Born int64
}

// SentReport is an UpstreamReport as it is sent to other processes, perhaps over several of them.
type SentReport struct {
	UpstreamReport
	// Address is the address of the upstream.
	Address netip.AddrPort
	// Epoch is the start of the side process that sent the report, in Unix milliseconds. Number increases with each of
	// its reports.
	Epoch  uint64
	Number uint64
}

// LoadOrder is a command to an upstream to load the staged chunks of a version.
type LoadOrder struct {
	Model   string
	Version uint64
	// Orders is the expected number of orders accepted so far; the upstream rejects the order if its own count differs.
	Orders uint64
	// AbortRunning aborts the requests in progress instead of waiting for them to finish.
	AbortRunning bool
	// Layers are the layers to load, all if it is empty.
	Layers LayerRange
}

// LayerRange is a range of the layers of a model.
type LayerRange struct {
	First int
	// End is the first layer after the range.
	End int
}

// Empty reports whether the range contains no layers.
func (r LayerRange) Empty() bool { return r.End <= r.First }
