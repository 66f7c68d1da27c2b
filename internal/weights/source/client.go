package source

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// maxManifestBytes limits the bytes read of an encoded manifest; a longer one is truncated.
const maxManifestBytes = 128 << 20

// Parts of a URL path: the base URL is followed by WeightsPath, the version name, and ManifestName or ContentName.
const (
	WeightsPath  = "/weights/"
	ManifestName = "/manifest.json"
	ContentName  = "/content"
)

// Client reads manifests and, with range requests, content over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ hub.WeightSource = (*Client)(nil)

// New returns a client for the source at the URL base, e.g. "http://10.0.0.9:8080".
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: response.DefaultTransport()}}
}

// Manifest returns the encoded manifest that is currently published as version. Failed requests return errors
// that wrap hub.ErrNotFound, hub.ErrThrottled or hub.ErrUnavailable.
func (c *Client) Manifest(ctx context.Context, version string) ([]byte, error) {
	body, err := c.open(ctx, version, ManifestName, "", http.StatusOK)
	if err != nil {
		return nil, fmt.Errorf("read manifest of %s: %w", version, err)
	}
	defer body.Close()
	data, err := io.ReadAll(io.LimitReader(body, maxManifestBytes))
	if err != nil {
		return nil, fmt.Errorf("read manifest of %s: %w: %w", version, hub.ErrUnavailable, err)
	}
	return data, nil
}

// Read returns a reader of length bytes of the content of version, starting at offset. Errors are those of Manifest.
func (c *Client) Read(ctx context.Context, version string, offset, length int64) (io.ReadCloser, error) {
	byteRange := fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
	body, err := c.open(ctx, version, ContentName, byteRange, http.StatusPartialContent)
	if err != nil {
		return nil, fmt.Errorf("read content of %s, range %s: %w", version, byteRange, err)
	}
	return body, nil
}

// open requests a part of the published version and returns the body of a response that has the status wantStatus.
// An empty byteRange requests the whole part.
func (c *Client) open(ctx context.Context, version, name, byteRange string, wantStatus int) (io.ReadCloser, error) {
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
	if resp.StatusCode == wantStatus {
		return resp.Body, nil
	}
	resp.Body.Close()
	return nil, statusError(resp.StatusCode)
}

// statusError returns the error for an unexpected HTTP status.
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
