package channel

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const (
	// maxIdleTime is the maximum time for which an idle connection is kept. An upstream may set a shorter one in
	// its Keep-Alive header.
	maxIdleTime = 4 * time.Second
	// idleMargin is the time before the end of the upstream's idle timeout at which a connection is no longer used.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to one upstream.
	maxIdlePerAddress = 24
	readBufferBytes   = 4 << 10
)

// Pool is a pool of connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dial socket.DialFunc

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*conn
}

// conn is a connection to the upstream at address.
type conn struct {
	net.Conn
	address string
	limit   *limitedReader
	// reader buffers what limit reads.
	reader *bufio.Reader
	// until is the time after which the idle connection must not be used.
	until time.Time
}

// abort resets the connection. Bytes of a call that are still in the send buffer are dropped; after a close they would
// be delivered, however late, although nobody waits for the response.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// NewPool returns an empty pool that opens its connections with dial.
func NewPool(dial socket.DialFunc) *Pool {
	return &Pool{dial: dial, idle: map[string][]*conn{}}
}

// get returns an idle connection to address, or opens a new one if there is none or if newConnection is true.
// reused is true for an idle connection. The error is that of dial.
func (p *Pool) get(ctx context.Context, address string, newConnection bool) (c *conn, reused bool, err error) {
	for !newConnection {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && reusable(c.Conn) {
			return c, true, nil
		}
		_ = c.Close()
	}
	netConn, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	limit := &limitedReader{source: netConn, left: noLimit}
	return &conn{Conn: netConn, address: address, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}, false, nil
}

// Probe opens a new connection to address and closes it. The error is that of dial.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// takeIdle removes the most recently used idle connection to address from the pool, or returns nil.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool after a complete response has been read from it. keepAlive is the response's
// Keep-Alive header. The connection is closed if the pool already holds maxIdlePerAddress connections to its address.
func (p *Pool) put(c *conn, keepAlive string) {
	c.until = time.Now().Add(idleTimeout(keepAlive))
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that have reached their idle timeout.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// idleTimeout returns the time for which an idle connection may be kept, given the upstream's Keep-Alive header, such
// as "timeout=5, max=100". It is at most maxIdleTime, and may be negative for timeouts below idleMargin.
func idleTimeout(keepAlive string) time.Duration {
	for param := range strings.SplitSeq(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return maxIdleTime
}
