package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// dialTimeout limits opening a connection, including the TLS handshake.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time after which an unused pooled connection is closed.
	idleTimeout = 30 * time.Second
	// maxIdlePerAddress is the maximum number of idle connections in the pool for each address.
	maxIdlePerAddress = 64
	// maxMessageBytes limits the size of a message between two processes.
	maxMessageBytes = 16 << 20
)

// ErrDial means that no connection could be opened, so no part of the call was sent.
var ErrDial = errors.New("connection could not be opened")

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a plain TCP connection.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// DialTLS returns a DialFunc that opens a connection with dial and performs a TLS handshake on it.
// It calls config for each connection, so that changed certificates take effect.
func DialTLS(dial DialFunc, config func() *tls.Config) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, config())
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, fmt.Errorf("secure connection to %s: %w", address, err)
		}
		return conn, nil
	}
}

// Client opens connections to other processes and keeps idle ones in a pool for reuse.
type Client struct {
	dial DialFunc
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client that opens its connections with dial.
func NewClient(dial DialFunc) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerAddress}
	return &Client{dial: dial, pool: drpcpool.New[string, *drpcconn.Conn](options)}
}

// Pooled returns a connection to address that uses an idle connection of the pool, or opens one if there is none.
func (c *Client) Pooled(ctx context.Context, address string) drpc.Conn {
	return c.pool.Get(ctx, address, c.open)
}

// Fresh opens a new connection to address, for calls that must not use a pooled connection that may be dead.
// The caller closes it.
func (c *Client) Fresh(ctx context.Context, address string) (drpc.Conn, error) {
	return c.open(ctx, address)
}

// Close closes the idle connections of the pool.
func (c *Client) Close() error {
	return c.pool.Close()
}

// open opens a connection to address within dialTimeout; its errors wrap ErrDial.
func (c *Client) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDial, address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:     drpcstream.Options{SplitSize: 256 << 10, MaximumBufferSize: 256 << 10},
		SoftCancel: false,
	}
}
