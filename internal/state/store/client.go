package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// callTimeout is the timeout of a call, in addition to the time for which a watch waits for a change.
const callTimeout = 5 * time.Second

// Client is an HTTP client of the configuration store.
type Client struct {
	base string
	http *http.Client
}

var _ hub.Store = (*Client)(nil)

// New returns a client of the store with the given base URL, e.g. "http://10.0.0.5:2400".
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: response.DefaultTransport()}}
}

// Get returns the value of key, or hub.ErrNotFound or hub.ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (hub.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, nil)
}

// Watch waits until the revision of key is greater than after and returns its value, or hub.ErrNotFound if that does
// not happen within wait. The store holds the request open until then.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (hub.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set(ParamAfter, strconv.FormatUint(after, 10))
	query.Set(ParamWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
	return c.read(ctx, key, query)
}

// read returns the value of key and its revision from the response header.
func (c *Client) read(ctx context.Context, key string, query url.Values) (hub.Value, error) {
	body, header, err := c.call(ctx, http.MethodGet, KeysPath+key, query, nil)
	if err != nil {
		return hub.Value{}, fmt.Errorf("read key %q: %w", key, err)
	}
	revision, err := strconv.ParseUint(header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return hub.Value{}, fmt.Errorf("read key %q: revision header: %w", key, hub.ErrUnavailable)
	}
	return hub.Value{Data: body, Revision: revision}, nil
}

// CompareAndSwap writes value if the revision of key is base and returns the new revision, or hub.ErrConflict. A value
// larger than hub.MaxValueBytes is rejected with hub.ErrTooLarge before any request. After hub.ErrUnavailable the write
// may have taken effect. A lease other than "" is attached to the key.
func (c *Client) CompareAndSwap(ctx context.Context, key string, base uint64, value []byte, lease hub.LeaseID) (uint64, error) {
	if len(value) > hub.MaxValueBytes {
		return 0, fmt.Errorf("write key %q: %d bytes, limit %d: %w", key, len(value), hub.MaxValueBytes, hub.ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set(ParamBase, strconv.FormatUint(base, 10))
	if lease != "" {
		query.Set(ParamLease, string(lease))
	}
	_, header, err := c.call(ctx, http.MethodPut, KeysPath+key, query, value)
	if err != nil {
		return 0, fmt.Errorf("write key %q: %w", key, err)
	}
	revision, err := strconv.ParseUint(header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("write key %q: revision header: %w", key, hub.ErrUnavailable)
	}
	return revision, nil
}

// Grant creates a lease that expires unless it is renewed within ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hub.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set(ParamTtlMs, strconv.FormatInt(ttl.Milliseconds(), 10))
	body, _, err := c.call(ctx, http.MethodPost, LeasesPath, query, nil)
	if err != nil {
		return "", fmt.Errorf("grant lease: %w", err)
	}
	return hub.LeaseID(body), nil
}

// KeepAlive renews a lease, or returns hub.ErrLeaseLost if it has expired.
func (c *Client) KeepAlive(ctx context.Context, lease hub.LeaseID) error {
	return c.changeLease(ctx, http.MethodPut, lease)
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease hub.LeaseID) error {
	return c.changeLease(ctx, http.MethodDelete, lease)
}

// changeLease sends a request without a body for a lease: PUT renews it, DELETE ends it.
func (c *Client) changeLease(ctx context.Context, method string, lease hub.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.call(ctx, method, LeasesPath+string(lease), nil, nil)
	if err != nil {
		return fmt.Errorf("change lease %q: %w", lease, err)
	}
	return nil
}

// call sends a request and returns the body and header of the response. It returns hub.ErrUnavailable if the request
// fails, or the error for the status code.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, http.Header, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", hub.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*hub.MaxValueBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", hub.ErrUnavailable, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return nil, nil, err
	}
	return data, resp.Header, nil
}

// statusError maps a status code of the store to an error of package hub.
func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return hub.ErrNotFound
	case http.StatusConflict:
		return hub.ErrConflict
	case http.StatusGone:
		return hub.ErrLeaseLost
	case http.StatusRequestEntityTooLarge:
		return hub.ErrTooLarge
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", hub.ErrUnavailable, hub.ErrThrottled)
	default:
		return fmt.Errorf("%w: status %d", hub.ErrUnavailable, code)
	}
}
