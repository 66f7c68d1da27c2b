package testbed

import (
	"context"
	"io"
	"net/http"

	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// Classes returns the request classes for a testbed, with the given rates in requests per second.
func Classes(streams, once, lookups float64) []load.Class {
	return []load.Class{
		{Name: "stream", Method: http.MethodPost, Path: standin.Path + "note", Tokens: StreamEvents, PerSecond: streams},
		{Name: "once", Method: http.MethodPost, Path: standin.AtMostOncePath + "new", Once: true, PerSecond: once},
		{Name: "lookup", Method: http.MethodGet, Path: standin.LookupPath + "last", PerSecond: lookups},
	}
}

// StreamEvents is the number of events in each response stream of the stand-in engines.
const StreamEvents = 5

// Caller sends requests to the routes of a testbed. Targets are addresses of the load balancer or of entry processes.
type Caller struct {
	client *http.Client
}

var _ load.Caller = (*Caller)(nil)

// NewCaller returns a caller with its own connection pool.
func NewCaller() *Caller { return &Caller{client: load.NewClient()} }

// Call sends one request of class c to target and returns the outcome, which includes a check of the response body.
func (caller *Caller) Call(ctx context.Context, target string, c load.Class, _, id string) load.Outcome {
	r, err := standin.Request(target, c.Method, c.Path, id)
	if err != nil {
		return load.Failed
	}
	resp, err := caller.client.Do(r.WithContext(ctx))
	if err != nil {
		return load.Failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return load.NotRun
	case resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout:
		return load.Unknown
	case err != nil:
		return load.Cut
	case resp.StatusCode != http.StatusOK || !standin.HasSignature(resp.Header):
		return load.Failed
	case c.Tokens > 0:
		return load.Compare(string(body), standin.StreamBody(id, c.Tokens))
	default:
		return load.Compare(string(body), standin.PlainBody(id, c.Method))
	}
}
