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
	// idleLimit is the time for which an idle connection is kept where the upstream names none.
	idleLimit = 4 * time.Second
	// idleMargin is how long before the upstream's own limit an idle connection is given up.
	idleMargin = 500 * time.Millisecond
	// idlePerAddress bounds the idle connections to one upstream.
	idlePerAddress = 24
	readBuffer     = 4 << 10
)

// Pool keeps idle connections to upstreams.
type Pool struct {
	dial socket.DialFunc

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	until   time.Time
}

// NewPool returns a pool that opens its connections with dial.
func NewPool(dial socket.DialFunc) *Pool {
	return &Pool{dial: dial, idle: map[string][]*conn{}}
}

// get returns an idle connection, or a new one where there is none or fresh is wanted.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (c *conn, reused bool, err error) {
	for !fresh {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && quiet(c.Conn) {
			return c, true, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, false, nil
}

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

// put keeps a connection on which a whole answer has been read.
func (p *Pool) put(c *conn, keepAlive string) {
	c.until = time.Now().Add(idleTime(keepAlive))
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= idlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that have reached their limit.
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

// idleTime reads the limit for idle connections that an upstream names, "timeout=5, max=100".
func idleTime(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(idleLimit, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleLimit
}
