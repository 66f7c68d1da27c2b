package roster

import (
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
	// Path is the URL path of the VM list.
	Path = "/v1/vms"
	// callTimeout is the timeout of one request for the list.
	callTimeout = 3 * time.Second
	// maxListBytes limits the list of VMs.
	maxListBytes = 16 << 20
)

// Client reads the VM list over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ hub.VMLister = (*Client)(nil)

// NewClient returns a client of the server with the given base URL, e.g. "http://10.0.0.7:2600".
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: response.DefaultTransport(), Timeout: callTimeout}}
}

// VMs returns the listed VMs. It returns hub.ErrUnavailable if the request fails or the response is invalid.
func (c *Client) VMs(ctx context.Context) ([]hub.VM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("get VM list: %w: %w", hub.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get VM list: %w: status %d", hub.ErrUnavailable, resp.StatusCode)
	}
	var vms []hub.VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("decode VM list: %w: %w", hub.ErrUnavailable, err)
	}
	return vms, nil
}
