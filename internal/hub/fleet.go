package hub

import "time"

// Kinds of a route, which say what may be repeated.
type RouteKind int

// Kinds of routes.
const (
	// AtMostOnce requests run at one upstream or none.
	AtMostOnce RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events; they run at most once unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k RouteKind) String() string {
	return [...]string{"at-most-once", "idempotent", "stream"}[k]
}

// Configuration is the operator's desired state.
type Configuration struct {
	// Version grows with each change that the operator makes.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   RequestLimits
}

// Route tells which requests go to which service and how.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, has its full worth.
	Objective time.Duration
	// MaxPause is the longest pause between two events of an answer in time; 0 without streams.
	MaxPause time.Duration
	// Priority is the rank of the route, 0 first.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Regions are those in which the requests may be served; empty for all.
	Regions []string
}

// Repeatable reports whether a request that may have run may be sent once more.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a service with its part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of upstreams.
type Service struct {
	Name string
	// ColdPerSecond is the rate of requests that an upstream bears while it is cold; 0 without a limit.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *EngineModel
	// Origin is where the published weights are read, for the service that serves them.
	Origin *Origin
}

// Origin is the place from which weights are published.
type Origin struct {
	Address string
	// BytesPerSecond is the rate of its link.
	BytesPerSecond int64
}

// EngineModel is what a model engine holds and how long its steps take.
type EngineModel struct {
	Model string
	// Slots is the number of requests that run at the same time.
	Slots int
	// ReadPerSecond is the number of prompt tokens that are read in a second.
	ReadPerSecond float64
	// UsualPrompt is the mean number of prompt tokens.
	UsualPrompt int
	Layers      int
	Chunks      int
	ChunkBytes  int
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority.
	Priority    int
	HasPriority bool
	Regions     []string
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	MaxBodyBytes int64
}

// Instance is one lifetime of an upstream as the platform's list shows it.
type Instance struct {
	Id      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving upstreams finish what they have and take nothing new.
	Leaving bool
	// Cold is how much longer the upstream stayed cold when it said so.
	Cold time.Duration
	// Born is the start of the lifetime in Unix milliseconds.
	Born int64
	// Version is the model version that it holds from the first layer on, 0 for none.
	Version uint64
	// Layers is the number of layers that it holds without a gap, -1 where it does not list them.
	Layers int
}

// ModelTarget is the version of a model that every upstream is to hold.
type ModelTarget struct {
	Model   string
	Version uint64
}

// Directives are what the operator asks for beside the configuration.
type Directives struct {
	// Evacuated are the failure domains that get no new work.
	Evacuated []string
	Targets   []ModelTarget
}

// UpstreamReport is what an upstream says of its load.
type UpstreamReport struct {
	// Held is the model version that is held from the first layer on, 0 for none.
	Held uint64
	// Layers is the number of layers that it holds without a gap, -1 where it does not list them.
	Layers int
	// Fetched is the newest version whose content the side process beside it holds whole, 0 for none.
	Fetched uint64
	// Busy is true while an order is in progress.
	Busy bool
	// Orders is the number of orders accepted since Born.
	Orders  uint64
	Waiting int
	Running int
	// Pace is over 1 where the upstream is slower than its model says.
	Pace float64
	Born int64
}

// LoadOrder tells an upstream to load the staged chunks of a version.
type LoadOrder struct {
	Model   string
	Version uint64
	// Orders is the number of accepted orders that the upstream is expected to report.
	Orders uint64
	// Cut breaks off the requests in progress instead of waiting for their end.
	Cut bool
}
