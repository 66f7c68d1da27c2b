package excess

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// bodyBytes is the maximum length of a body in the configuration of the stand-in site.
	bodyBytes = 1 << 20
	// headerField is repeated in headers without end, headerPart of them at a time with headerPause after each.
	headerField = "X-A: 1\r\n"
	headerPart  = 2048
	headerPause = 20 * time.Millisecond
	// dialTimeout and redialPause limit how fast connections that were refused or closed are opened again.
	dialTimeout = time.Second
	redialPause = 200 * time.Millisecond
)

// Client uses a connection in a way that is outside the limits, until the connection or ctx ends. newId returns an ID
// for each request that it sends.
type Client func(ctx context.Context, c net.Conn, newId func() string) error

// Totals are what the connections have done.
type Totals struct {
	// Connections is the number of connections that were opened, Bytes what was written to them.
	Connections atomic.Int64
	Bytes       atomic.Int64
}

// Run keeps a number of connections to an address open, each used by client, until ctx is done. The IDs of their
// requests begin with name.
func Run(ctx context.Context, address, name string, connections int, client Client, totals *Totals) {
	var running sync.WaitGroup
	var sent atomic.Int64
	newId := func() string { return fmt.Sprintf("%s-%d", name, sent.Add(1)) }
	for range connections {
		running.Go(func() {
			for ctx.Err() == nil {
				_ = use(ctx, address, client, newId, totals)
				_ = hub.Sleep(ctx, redialPause)
			}
		})
	}
	running.Wait()
}

// use opens one connection and resets it when client returns or ctx is done.
func use(ctx context.Context, address string, client Client, newId func() string, totals *Totals) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return fmt.Errorf("connect to the callers' listener: %w", err)
	}
	totals.Connections.Add(1)
	// What was sent but not read must not keep the process busy after the end of the fault.
	_ = conn.(*net.TCPConn).SetLinger(0)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return client(ctx, &countedConn{Conn: conn, written: &totals.Bytes}, newId)
}

// countedConn counts the bytes that are written.
type countedConn struct {
	net.Conn
	written *atomic.Int64
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// ShortBody sends a body that stops one byte before its announced length.
func ShortBody(_ context.Context, c net.Conn, newId func() string) error {
	if _, err := c.Write(header(http.MethodPost, standin.AtMostOncePath+"new", newId(), bodyBytes)); err != nil {
		return err
	}
	if _, err := c.Write(bytes.Repeat([]byte("x"), bodyBytes-1)); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

// EndlessHeader sends fields of a header that never ends.
func EndlessHeader(ctx context.Context, c net.Conn, newId func() string) error {
	begin := header(http.MethodGet, standin.LookupPath+"last", newId(), 0)
	if _, err := c.Write(bytes.TrimSuffix(begin, []byte("\r\n"))); err != nil {
		return err
	}
	part := bytes.Repeat([]byte(headerField), headerPart)
	for {
		if _, err := c.Write(part); err != nil {
			return err
		}
		if err := hub.Sleep(ctx, headerPause); err != nil {
			return err
		}
	}
}

// UnreadResponses sends one request after the other and reads no response.
func UnreadResponses(_ context.Context, c net.Conn, newId func() string) error {
	for {
		if _, err := c.Write(header(http.MethodGet, standin.LookupPath+"last", newId(), 0)); err != nil {
			return err
		}
	}
}

// header returns the header of a request that announces a body of a length.
func header(method, path, id string, length int64) []byte {
	r, err := standin.Request(standin.Host, method, path, id)
	if err != nil {
		panic("soak: build request: " + err.Error())
	}
	if length > 0 {
		// The body is not read: it makes DumpRequestOut write the length.
		r.ContentLength, r.Body = length, io.NopCloser(bytes.NewReader(nil))
	}
	out, err := httputil.DumpRequestOut(r, false)
	if err != nil {
		panic("soak: encode request: " + err.Error())
	}
	return out
}
