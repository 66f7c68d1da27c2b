package desired

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// Keys and key prefixes in the stand-in's store.
const (
	UpstreamPrefix   = "upstreams/"
	OperatorPrefix   = "operator/"
	ConfigurationKey = "operator/configuration"
	EvacuatePrefix   = "operator/out/"
	TargetPrefix     = "operator/target/"
)

// Header fields of requests and responses in the stand-in.
const (
	HeaderRequestId = "Request-Id"
	HeaderInstance  = "Instance"
	HeaderAccount   = "Account"
	HeaderRemaining = "Remaining-Ms"
	HeaderSignature = "Signature"
	HeaderNotRun    = "Not-Run"
	HeaderKey       = "Key"
	HeaderLastEvent = "Last-Event-Id"
	HeaderLeaving   = "Leaving"
	// HeaderRateLimit is the rate limit of the upstream in requests per second.
	HeaderRateLimit = "Rate-Limit"
	// HeaderParts lists the shared parts of the prompt.
	HeaderParts = "Parts"
	// HeaderPrompt identifies the whole prompt.
	HeaderPrompt = "Prompt"
)

// ErrMalformed means that a value is not valid JSON of the expected type.
var ErrMalformed = errors.New("malformed value")

// Decoder decodes values that are JSON encodings of types of package hub.
type Decoder struct{}

var _ hub.StateDecoder = Decoder{}

// Prefixes returns the key prefixes of the upstreams and of the operator.
func (Decoder) Prefixes() (upstreams, operator string) { return UpstreamPrefix, OperatorPrefix }

// IsConfiguration reports whether key holds the hub.Configuration.
func (Decoder) IsConfiguration(key string) bool { return key == ConfigurationKey }

// Configuration decodes the value of the configuration key, or returns ErrMalformed.
func (Decoder) Configuration(value []byte) (*hub.Configuration, error) {
	return decode[hub.Configuration](value)
}

// Instance decodes the entry that an upstream has written about itself, or returns ErrMalformed.
func (Decoder) Instance(_ string, value []byte) (hub.Instance, error) {
	i, err := decode[hub.Instance](value)
	if err != nil {
		return hub.Instance{}, err
	}
	return *i, nil
}

// Directive decodes an operator's key other than the configuration and adds the result to d. A key with EvacuatePrefix
// adds an evacuated failure domain and its value is ignored; any other key must hold a hub.ModelTarget.
func (Decoder) Directive(key string, value []byte, d *hub.Directives) error {
	if domain, ok := strings.CutPrefix(key, EvacuatePrefix); ok {
		d.Evacuated = append(d.Evacuated, domain)
		return nil
	}
	target, err := decode[hub.ModelTarget](value)
	if err != nil {
		return err
	}
	d.Targets = append(d.Targets, *target)
	return nil
}

func decode[T any](value []byte) (*T, error) {
	var out T
	if err := json.Unmarshal(value, &out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return &out, nil
}

// CallFormat translates headers that use the Header constants of this package.
type CallFormat struct{}

var _ hub.CallFormat = CallFormat{}

// ParseRequest extracts the values in the header of a caller's request.
func (CallFormat) ParseRequest(h http.Header) hub.RequestInfo {
	ms, _ := strconv.Atoi(h.Get(HeaderRemaining))
	return hub.RequestInfo{
		RequestId:   h.Get(HeaderRequestId),
		Wait:        time.Duration(ms) * time.Millisecond,
		Key:         h.Get(HeaderKey),
		HasKey:      h.Get(HeaderKey) != "",
		LastEvent:   h.Get(HeaderLastEvent),
		SharedParts: strings.FieldsSeq(h.Get(HeaderParts)),
		Prompt:      h.Get(HeaderPrompt),
	}
}

// UpstreamHeader returns the header to send to an upstream: a copy of h without the API key and with the values of a.
func (CallFormat) UpstreamHeader(h http.Header, a hub.Attempt) http.Header {
	out := h.Clone()
	out.Del(HeaderKey)
	out.Set(HeaderInstance, a.Instance)
	out.Set(HeaderAccount, a.Account)
	out.Set(HeaderRemaining, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	if a.LastEvent != "" {
		out.Set(HeaderLastEvent, a.LastEvent)
	}
	return out
}

// ParseResponse extracts the values in the status and header of an upstream's response.
func (CallFormat) ParseResponse(status int, h http.Header) hub.ResponseInfo {
	wrongInstance := status == http.StatusMisdirectedRequest
	info := hub.ResponseInfo{
		RequestId:     h.Get(HeaderRequestId),
		NotRun:        wrongInstance || h.Get(HeaderNotRun) != "",
		WrongInstance: wrongInstance,
		Signed:        h.Get(HeaderSignature) != "",
		Leaving:       h.Get(HeaderLeaving) != "",
		RateLimit:     hub.ParseRateLimit(h.Get(HeaderRateLimit)),
	}
	if status == http.StatusServiceUnavailable {
		info.Pause = hub.RetryAfter(h)
	}
	return info
}

// CallerHeader copies the header of an upstream's response to dst.
func (CallFormat) CallerHeader(dst, h http.Header) {
	for name, values := range h {
		dst[name] = values
	}
}

// Catalog stores the latest revision of each document.
type Catalog interface {
	// PutDocument stores d and reports whether it is newer than the stored document of that name.
	PutDocument(d hub.Document) bool
}

// Publisher writes documents to a catalog in the form in which a mirror publishes what it reads from the platform's
// store.
type Publisher struct {
	Catalog  Catalog
	revision uint64
}

// PublishConfiguration publishes the operator's desired state.
func (p *Publisher) PublishConfiguration(c hub.Configuration) {
	p.publish(mirror.DocumentConfiguration, encode(c))
}

// PublishUpstreams publishes the list of upstreams; it replaces the previous list.
func (p *Publisher) PublishUpstreams(instances ...hub.Instance) {
	entries := []listing.Entry{}
	for _, i := range instances {
		entries = append(entries, listing.Entry{Key: UpstreamPrefix + i.Id, Value: encode(i), Revision: p.revision})
	}
	slices.SortFunc(entries, func(a, b listing.Entry) int { return strings.Compare(a.Key, b.Key) })
	p.publish(mirror.DocumentUpstreams, encode(entries))
}

// PublishDirectives publishes the operator's directives; they replace the previous ones.
func (p *Publisher) PublishDirectives(d hub.Directives) {
	entries := []listing.Entry{}
	for _, domain := range d.Evacuated {
		entries = append(entries, listing.Entry{Key: EvacuatePrefix + domain, Value: []byte("{}"), Revision: p.revision})
	}
	for _, t := range d.Targets {
		entries = append(entries, listing.Entry{Key: TargetPrefix + t.Model, Value: encode(t), Revision: p.revision})
	}
	p.publish(mirror.DocumentDirectives, encode(entries))
}

func (p *Publisher) publish(name string, value []byte) {
	p.revision++
	p.Catalog.PutDocument(hub.Document{Name: name, Revision: p.revision, Value: value})
}

// encode returns v as JSON. It panics on an error, because the types of package hub can always be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
