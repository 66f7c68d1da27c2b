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

// idleConnections bounds the connections that a caller keeps to one target.
const idleConnections = 1024

// Outcome is what became of a call.
type Outcome int

// Outcomes of a call.
const (
	Answered Outcome = iota
	// NotRun calls were refused and have not run.
	NotRun
	// Unknown calls may have run.
	Unknown
	// Cut answers broke off so that the HTTP library reported it.
	Cut
	// Wrong answers belong to another call, Short ones looked whole and were not.
	Wrong
	Short
	// Failed calls found no entry process or had another status.
	Failed
)

// Caller makes calls and tells what became of them; implementations are safe for concurrent use.
type Caller interface {
	// Call makes one call of a class to a target.
	Call(ctx context.Context, target string, c Class, account, id string) Outcome
}

// GroupCaller calls groups of upstreams through entry processes; targets are base URLs.
type GroupCaller struct {
	client *http.Client
}

// NewGroupCaller returns a caller with connections of its own.
func NewGroupCaller() *GroupCaller { return &GroupCaller{client: NewClient()} }

// NewClient returns an HTTP client that keeps many connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
}

// Call makes one call of a class to a target.
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
		return check(c, id, string(body))
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
		return nil, fmt.Errorf("build call: %w", err)
	}
	r.Header.Set(dispatch.HeaderRequestID, id)
	if account != "" {
		r.Header.Set(dispatch.HeaderAccount, account)
	}
	return r, nil
}

// check compares an answer with the one that belongs to the call.
func check(c Class, id, body string) Outcome {
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

// Compare tells an answer that is whole from one that is short and one that belongs to another call.
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
