package hub

import (
	"context"
	"net/http"
	"time"
)

// Item is one key of the platform's store as it was last changed.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Listing is a full read of the keys below a prefix at a revision of the store.
type Listing struct {
	Items    []Item
	Revision uint64
}

// StateSource reads the operator's and the upstreams' keys in the platform's store.
type StateSource interface {
	// List returns all keys below a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Follow returns the changes after a revision, waiting for the first; ErrHistoryLost when they are no longer kept.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// StateDecoder turns stored values into the product's types.
type StateDecoder interface {
	// Prefixes returns the prefix of the upstreams' keys and that of the operator's.
	Prefixes() (upstreams, operator string)
	// IsConfiguration reports whether a key holds the desired state.
	IsConfiguration(key string) bool
	// Configuration decodes the desired state.
	Configuration(value []byte) (*Configuration, error)
	// Instance decodes an upstream's own entry.
	Instance(key string, value []byte) (Instance, error)
	// Directive takes an operator's key that is not the configuration into d.
	Directive(key string, value []byte, d *Directives) error
}

// Caller is what a request says of itself in its head.
type Caller struct {
	RequestId string
	// Wait is how long the caller will wait, 0 when it does not say.
	Wait time.Duration
	// Key is the caller's key; HasKey is false where there is none.
	Key    string
	HasKey bool
	// PromptTokens is the length of the prompt that the caller gives, 0 when it does not say.
	PromptTokens int
	// LastEvent is the last event that the caller has, from which its stream goes on.
	LastEvent string
}

// Attempt is what one sending of a request to an upstream adds to its head.
type Attempt struct {
	Instance string
	Account  string
	// Remaining is the time that is left.
	Remaining time.Duration
	// LastEvent resumes a stream after that event.
	LastEvent string
	// Priority is the rank at the upstream, 0 first, or -1 for the usual one.
	Priority int
}

// Verdict is what the head of an upstream's answer says.
type Verdict struct {
	// RequestId is the request that the answer belongs to, empty when it does not say.
	RequestId string
	// NotRun is true where the upstream states that the request did not run.
	NotRun bool
	// WrongInstance is true where another upstream has the address or the version differs.
	WrongInstance bool
	// Signed is true where the answer carries the upstream's signature.
	Signed bool
}

// CallFormat reads and writes the heads of requests and answers.
type CallFormat interface {
	// ReadCaller returns what a request says of itself.
	ReadCaller(h http.Header) Caller
	// UpstreamHeader returns the head to send to an upstream.
	UpstreamHeader(h http.Header, a Attempt) http.Header
	// ReadVerdict returns what the head of an answer says.
	ReadVerdict(status int, h http.Header) Verdict
	// CallerHeader copies the head of an upstream's answer into dst.
	CallerHeader(dst, h http.Header)
}

// LocalUpstream is the model engine beside a side process.
type LocalUpstream interface {
	// Report returns what the upstream says of itself now.
	Report(ctx context.Context) (UpstreamReport, error)
	// Stage stores one chunk beside the upstream.
	Stage(ctx context.Context, model string, chunk int, data []byte) error
	// Staged returns one staged chunk, or ErrNotFound.
	Staged(ctx context.Context, model string, chunk int) ([]byte, error)
	// Load orders the upstream to load what is staged; ErrConflict when the order does not fit its state.
	Load(ctx context.Context, order LoadOrder) error
}
