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
	dialTimeout = 2 * time.Second
	// idleExpiry closes pooled connections that were not used for this long.
	idleExpiry = 30 * time.Second
	// idlePerAddress bounds the idle connections kept for each address.
	idlePerAddress = 64
	// maxMessageBytes bounds one message between two processes.
	maxMessageBytes = 16 << 20
)

// ErrDial reports that no connection could be opened, so no byte was sent.
var ErrDial = errors.New("connection could not be opened")

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a plain TCP connection.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// DialTLS opens connections by dial and secures them with the settings that config returns at that time.
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

// Client keeps idle connections to other processes for reuse.
type Client struct {
	dial DialFunc
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client that opens its connections with dial.
func NewClient(dial DialFunc) *Client {
	options := drpcpool.Options{Expiration: idleExpiry, KeyCapacity: idlePerAddress}
	return &Client{dial: dial, pool: drpcpool.New[string, *drpcconn.Conn](options)}
}

// Pooled returns a connection to address that reuses an idle one where there is one.
func (c *Client) Pooled(ctx context.Context, address string) drpc.Conn {
	return c.pool.Get(ctx, address, c.open)
}

// Fresh opens a new connection to address, for use when the idle ones may be dead.
func (c *Client) Fresh(ctx context.Context, address string) (drpc.Conn, error) {
	return c.open(ctx, address)
}

// Close closes all idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

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
