package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/oriolehub/oriolehub/internal/route/dispatch"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
	"github.com/oriolehub/oriolehub/internal/standin/service"
)

// maxIdleConnsPerHost limits the idle connections that an HTTP client keeps open to one target.
const maxIdleConnsPerHost = 1024

// Outcome is the result of a request.
type Outcome int

// Outcomes of a request.
const (
	// Answered requests got the complete, expected response.
	Answered Outcome = iota
	// NotRun requests were rejected and, according to the response, did not run.
	NotRun
	// Unknown requests may or may not have run.
	Unknown
	// Cut responses ended early with an error from the HTTP client.
	Cut
	// Wrong responses do not belong to the request.
	Wrong
	// Short responses ended early without an error from the HTTP client.
	Short
	// Failed requests got no response or one with an unexpected status.
	Failed
)

// Caller sends requests and classifies their responses; implementations are safe for concurrent use.
type Caller interface {
	// Call sends one request of class c with the request ID id to target, and returns its outcome.
	Call(ctx context.Context, target string, c Class, account, id string) Outcome
}

// GroupCaller sends requests for groups of upstreams to entry processes; targets are base URLs.
type GroupCaller struct {
	client *http.Client
}

// NewGroupCaller returns a GroupCaller with its own connection pool.
func NewGroupCaller() *GroupCaller { return &GroupCaller{client: NewClient()} }

// NewClient returns an HTTP client that keeps up to maxIdleConnsPerHost idle connections to each target.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
}

// Call sends one request of class c with the request ID id to target, and returns its outcome.
func (g *GroupCaller) Call(ctx context.Context, target string, c Class, account, id string) Outcome {
	r, err := newRequest(ctx, target, c, account, id)
	if err != nil {
		return Failed
	}
	resp, err := g.client.Do(r)
	if err != nil {
		return Failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch outcome := resp.Header.Get(dispatch.HeaderOutcome); {
	case outcome == "not-run":
		return NotRun
	case outcome == "unknown":
		return Unknown
	case err != nil:
		return Cut
	case resp.StatusCode != http.StatusOK:
		return Failed
	default:
		return checkResponse(c, id, string(body))
	}
}

func newRequest(ctx context.Context, target string, c Class, account, id string) (*http.Request, error) {
	body := ""
	if c.Tokens > 0 {
		encoded, err := json.Marshal(engine.Prompt{Prompt: "note for " + id, Tokens: c.Tokens})
		if err != nil {
			return nil, fmt.Errorf("encode prompt: %w", err)
		}
		body = string(encoded)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, target+c.Path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set(dispatch.HeaderRequestID, id)
	if account != "" {
		r.Header.Set(dispatch.HeaderAccount, account)
	}
	return r, nil
}

// checkResponse compares the body of a response with the one expected for the request.
func checkResponse(c Class, id, body string) Outcome {
	if c.Tokens > 0 {
		return Compare(body, engine.Completion(id, engine.Prompt{Tokens: c.Tokens}))
	}
	var a service.Answer
	switch {
	case json.Unmarshal([]byte(body), &a) != nil:
		return Short
	case a.Request != id || a.Method != c.Method:
		return Wrong
	default:
		return Answered
	}
}

// Compare returns Answered if body equals want, Short if it is only the beginning of want, and Wrong otherwise.
func Compare(body, want string) Outcome {
	switch {
	case body == want:
		return Answered
	case strings.HasPrefix(want, body):
		return Short
	default:
		return Wrong
	}
}
