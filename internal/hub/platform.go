package hub

import (
	"context"
	"iter"
	"net/http"
	"time"
)

// Item is the latest state of one key in the platform's store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Listing is a set of keys with a common prefix, and the revision of the store at which they were read.
type Listing struct {
	Items    []Item
	Revision uint64
	// Skipped is the number of entries of upstreams that can't be read. They name no upstream: List leaves them out, Follow
	// returns them as deleted. SkipReason tells why the first of them can't be read.
	Skipped    int
	SkipReason string
}

// StateSource reads the keys of the operator and of the upstreams from the platform's store. All revisions are combined
// with their era as by StoreRevision.
type StateSource interface {
	// List returns all keys with the given prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Follow returns the changes after a revision and waits up to wait for the first of them.
	// It returns ErrHistoryLost if the store no longer keeps these changes, or is in another era.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// StateDecoder decodes the values in the platform's store.
type StateDecoder interface {
	// Prefixes returns the key prefixes of the upstreams and of the operator.
	Prefixes() (upstreams, operator string)
	// IsConfiguration reports whether a key holds the Configuration.
	IsConfiguration(key string) bool
	// Configuration decodes the value of the configuration key.
	Configuration(value []byte) (*Configuration, error)
	// Instance decodes the entry that an upstream has written about itself.
	Instance(key string, value []byte) (Instance, error)
	// Directive decodes an operator's key other than the configuration and adds the result to d.
	Directive(key string, value []byte, d *Directives) error
}

// RequestInfo holds the values that a caller's request carries in its header.
type RequestInfo struct {
	RequestId string
	// Wait is the time for which the caller waits for a response, 0 if not given.
	Wait time.Duration
	// Key is the caller's API key; HasKey is false if the request carries none.
	Key    string
	HasKey bool
	// PromptTokens is the prompt length stated by the caller, 0 if not given.
	PromptTokens int
	// ResponseTokens is the length of the response that the caller expects, 0 if not given.
	ResponseTokens int
	// SharedParts are the IDs of the parts of the prompt that other requests may share, in the order of the prompt; nil for none.
	// They may be thousands, so they are taken from the header only when they are needed.
	SharedParts iter.Seq[string]
	// Prompt identifies the whole prompt, including the part that other requests do not share; empty if not given.
	Prompt string
	// LastEvent is the ID of the last event that the caller has received, after which its stream is resumed.
	LastEvent string
}

// Attempt holds the values that are added to the header of a request for one attempt at an upstream.
type Attempt struct {
	Instance string
	Account  string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// LastEvent is the ID of the event after which a stream is resumed, empty for a new stream.
	LastEvent string
	// Priority is the priority at the upstream, 0 for the highest, -1 for the upstream's default.
	Priority int
}

// ResponseInfo holds the values taken from the status and header of an upstream's response.
type ResponseInfo struct {
	// RequestId is the ID of the request that the response belongs to, empty if not given.
	RequestId string
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// WrongInstance is true if another instance now has the address or the version differs.
	WrongInstance bool
	// Signed is true if the response carries the upstream's signature.
	Signed bool
	// Leaving is true if the upstream states that it is leaving; it serves no new requests for the rest of its lifetime.
	Leaving bool
	// Pause is the time for which the upstream asks not to be sent any request, 0 if it does not.
	Pause time.Duration
	// RateLimit is the rate limit that the upstream names in this response.
	RateLimit RateLimit
}

// CallFormat translates the headers of requests and responses.
type CallFormat interface {
	// ParseRequest extracts the values in the header of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// UpstreamHeader returns the header to send to an upstream, derived from the caller's header h.
	UpstreamHeader(h http.Header, a Attempt) http.Header
	// ParseResponse extracts the values in the status and header of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// CallerHeader copies the header of an upstream's response to dst, the header of the response to the caller.
	CallerHeader(dst, h http.Header)
}

// LocalUpstream is the client of the model engine that runs next to a side process.
type LocalUpstream interface {
	// Report returns the current state and load of the upstream.
	Report(ctx context.Context) (UpstreamReport, error)
	// Stage writes one chunk to the upstream's staging area.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// Staged reads back one staged chunk, or returns ErrNotFound.
	Staged(ctx context.Context, model string, chunk int) ([]byte, error)
	// Load orders the upstream to load the staged chunks. It returns ErrConflict if the order does not match
	// the upstream's state.
	Load(ctx context.Context, order LoadOrder) error
}
