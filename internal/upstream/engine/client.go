package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

const (
	// callTimeout limits the duration of one control request.
	callTimeout = 5 * time.Second
	// maxStatusBytes limits the status that an engine sends.
	maxStatusBytes = 64 << 10
	// maxHeadBytes limits the header of a response.
	maxHeadBytes = 256 << 10
)

// Client is the HTTP client of one engine's control endpoints.
type Client struct {
	base string
	http *http.Client
}

var _ hub.Engine = (*Client)(nil)

// New returns a client of the engine at base, e.g. "http://127.0.0.1:8000".
func New(base string) *Client {
	transport := response.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeadBytes})
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Status returns the current status of the engine, or hub.ErrUnavailable.
func (c *Client) Status(ctx context.Context) (hub.EngineStatus, error) {
	var status hub.EngineStatus
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+StatusPath, nil)
	if err != nil {
		return status, fmt.Errorf("build request: %w", err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return status, fmt.Errorf("engine status: %w: %w", hub.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, fmt.Errorf("engine status: %w: status %d", hub.ErrUnavailable, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("engine status: %w: %w", hub.ErrUnavailable, err)
	}
	return status, nil
}

// Load orders the engine to load weights and returns once the engine has accepted the order; loading continues after
// that. It returns hub.ErrFenced if the engine rejects the fencing token, hub.ErrUnavailable for other failures.
func (c *Client) Load(ctx context.Context, order hub.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode load order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+LoadPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("load %s: %w: %w", order.Version, hub.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("load %s with fence %d: %w", order.Version, order.Fence, hub.ErrFenced)
	default:
		return fmt.Errorf("load %s: %w: status %d", order.Version, hub.ErrUnavailable, resp.StatusCode)
	}
}
