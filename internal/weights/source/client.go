package source

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// maxManifestBytes bounds an encoded manifest.
const maxManifestBytes = 128 << 20

// Paths below the base URL, after the version name.
const (
	WeightsPath  = "/weights/"
	ManifestName = "/manifest.json"
	ContentName  = "/content"
)

// Client reads weights over HTTP with byte ranges.
type Client struct {
	base string
	http *http.Client
}

var _ hub.WeightSource = (*Client)(nil)

// New returns a client of the source at base, e.g. "http://10.0.0.9:8080".
func New(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Manifest returns the encoded manifest that is now published under version.
func (c *Client) Manifest(ctx context.Context, version string) ([]byte, error) {
	body, err := c.open(ctx, version, ManifestName, "", http.StatusOK)
	if err != nil {
		return nil, fmt.Errorf("manifest of %s: %w", version, err)
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxManifestBytes))
	if err != nil {
		return nil, fmt.Errorf("manifest of %s: %w: %w", version, hub.ErrUnavailable, err)
	}
	return data, nil
}

// Read opens length bytes of the content of version from offset.
func (c *Client) Read(ctx context.Context, version string, offset, length int64) (io.ReadCloser, error) {
	byteRange := fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
	body, err := c.open(ctx, version, ContentName, byteRange, http.StatusPartialContent)
	if err != nil {
		return nil, fmt.Errorf("content of %s, %s: %w", version, byteRange, err)
	}
	return body, nil
}

func (c *Client) open(ctx context.Context, version, name, byteRange string, want int) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+WeightsPath+url.PathEscape(version)+name, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	if byteRange != "" {
		r.Header.Set("Range", byteRange)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hub.ErrUnavailable, err)
	}
	if resp.StatusCode == want {
		return resp.Body, nil
	}
	resp.Body.Close()
	return nil, statusError(resp.StatusCode)
}

func statusError(code int) error {
	switch code {
	case http.StatusNotFound:
		return hub.ErrNotFound
	case http.StatusTooManyRequests:
		return hub.ErrThrottled
	default:
		return fmt.Errorf("%w: status %d", hub.ErrUnavailable, code)
	}
}
