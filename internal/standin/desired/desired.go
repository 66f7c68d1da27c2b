package desired

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// Keys of the stand-in.
const (
	UpstreamPrefix   = "upstreams/"
	OperatorPrefix   = "operator/"
	ConfigurationKey = "operator/configuration"
	EvacuatePrefix   = "operator/out/"
	TargetPrefix     = "operator/target/"
)

// Heads of calls in the stand-in.
const (
	HeaderRequestId = "Request-Id"
	HeaderInstance  = "Instance"
	HeaderAccount   = "Account"
	HeaderRemaining = "Remaining-Ms"
	HeaderSignature = "Signature"
	HeaderNotRun    = "Not-Run"
	HeaderKey       = "Key"
	HeaderLastEvent = "Last-Event-Id"
)

// ErrBad reports a value that can't be read.
var ErrBad = errors.New("bad value")

// Decoder reads values that are the product's types as JSON.
type Decoder struct{}

var _ hub.StateDecoder = Decoder{}

// Prefixes returns the prefix of the upstreams' keys and that of the operator's.
func (Decoder) Prefixes() (upstreams, operator string) { return UpstreamPrefix, OperatorPrefix }

// IsConfiguration reports whether a key holds the desired state.
func (Decoder) IsConfiguration(key string) bool { return key == ConfigurationKey }

// Configuration decodes the desired state.
func (Decoder) Configuration(value []byte) (*hub.Configuration, error) {
	return decode[hub.Configuration](value)
}

// Instance decodes an upstream's own entry.
func (Decoder) Instance(_ string, value []byte) (hub.Instance, error) {
	i, err := decode[hub.Instance](value)
	if err != nil {
		return hub.Instance{}, err
	}
	return *i, nil
}

// Directive takes an operator's key that is not the configuration into d.
func (Decoder) Directive(key string, value []byte, d *hub.Directives) error {
	if domain, ok := strings.CutPrefix(key, EvacuatePrefix); ok {
		d.Evacuated = append(d.Evacuated, domain)
		return nil
	}
	t, err := decode[hub.ModelTarget](value)
	if err != nil {
		return err
	}
	d.Targets = append(d.Targets, *t)
	return nil
}

func decode[T any](value []byte) (*T, error) {
	var out T
	if err := json.Unmarshal(value, &out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBad, err)
	}
	return &out, nil
}

// CallFormat names the heads of calls after what they hold.
type CallFormat struct{}

var _ hub.CallFormat = CallFormat{}

// ParseRequest returns what a request says of itself.
func (CallFormat) ParseRequest(h http.Header) hub.RequestInfo {
	ms, _ := strconv.Atoi(h.Get(HeaderRemaining))
	return hub.RequestInfo{
		RequestId: h.Get(HeaderRequestId),
		Wait:      time.Duration(ms) * time.Millisecond,
		Key:       h.Get(HeaderKey),
		HasKey:    h.Get(HeaderKey) != "",
		LastEvent: h.Get(HeaderLastEvent),
	}
}

// UpstreamHeader returns the head to send to an upstream.
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

// ParseResponse returns what the head of an answer says.
func (CallFormat) ParseResponse(status int, h http.Header) hub.ResponseInfo {
	wrong := status == http.StatusMisdirectedRequest
	return hub.ResponseInfo{
		RequestId:     h.Get(HeaderRequestId),
		NotRun:        wrong || h.Get(HeaderNotRun) != "",
		WrongInstance: wrong,
		Signed:        h.Get(HeaderSignature) != "",
	}
}

// CallerHeader copies the head of an upstream's answer into dst.
func (CallFormat) CallerHeader(dst, h http.Header) {
	for name, values := range h {
		dst[name] = values
	}
}

// Catalog is what takes documents.
type Catalog interface {
	// PutDocument takes in a document and reports whether it is newer than the one known.
	PutDocument(d hub.Document) bool
}

// Publisher puts the product's types into a catalog as if a mirror had read them.
type Publisher struct {
	Catalog  Catalog
	revision uint64
}

// Configure publishes a desired state.
func (p *Publisher) Configure(c hub.Configuration) {
	p.put(mirror.DocumentConfiguration, encode(c))
}

// List publishes the upstreams.
func (p *Publisher) List(instances ...hub.Instance) {
	entries := []mirror.Entry{}
	for _, i := range instances {
		entries = append(entries, mirror.Entry{Key: UpstreamPrefix + i.Id, Value: encode(i), Revision: p.revision})
	}
	p.put(mirror.DocumentUpstreams, encode(entries))
}

// Direct publishes the operator's directives.
func (p *Publisher) Direct(d hub.Directives) {
	entries := []mirror.Entry{}
	for _, domain := range d.Evacuated {
		entries = append(entries, mirror.Entry{Key: EvacuatePrefix + domain, Value: []byte("{}"), Revision: p.revision})
	}
	for _, t := range d.Targets {
		entries = append(entries, mirror.Entry{Key: TargetPrefix + t.Model, Value: encode(t), Revision: p.revision})
	}
	p.put(mirror.DocumentDirectives, encode(entries))
}

func (p *Publisher) put(name string, value []byte) {
	p.revision++
	p.Catalog.PutDocument(hub.Document{Name: name, Revision: p.revision, Value: value})
}

// encode returns v as JSON; the product's types always have a form.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
