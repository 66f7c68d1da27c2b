package channel

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
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
	// entriesTTL is the time for which the number of entry processes is used before it is determined again.
	entriesTTL = 250 * time.Millisecond
)

// Options are the settings and dependencies of a Pool. All but Dial may be zero.
type Options struct {
	Dial socket.DialFunc
	// Entries returns the number of entry processes that share the connections of an upstream.
	Entries func() int
	// HeadMemory is the memory in bytes for the heads of all responses together, 0 for a default.
	HeadMemory int64
	Log        *log.Logger
	Metrics    *metrics.Set
}

// Pool is a pool of connections to upstreams. It is safe for concurrent use.
type Pool struct {
	options Options
	entries atomic.Pointer[timedEntries]
	// backingOff is the number of upstreams at which a reset by the connection limit may still have an effect. It may be too
	// high until the next Sweep.
	backingOff atomic.Int64
	resets     resets
	heads      *listener.Budget

	mu sync.Mutex
	// upstreams holds the state of the connections by address.
	upstreams map[string]*upstreamConns
	// series holds the services for which metrics are registered.
	series map[string]bool
}

// timedEntries is a number of entry processes with the time at which it was determined.
type timedEntries struct {
	n  int
	at time.Time
}

// conn is a connection to the upstream at address.
type conn struct {
	net.Conn
	address string
	// stream reads and writes the connection.
	stream   *socket.Conn
	receiver *receiver
	limit    *limitedReader
	// reader buffers what limit reads.
	reader *bufio.Reader
	// until is the time after which the idle connection must not be used.
	until time.Time
	// openedAt is the time at which the connection was established, dialTime the time which that took.
	openedAt time.Time
	dialTime time.Duration
	// lateRead is true if the upstream may read the body of the last call some seconds late.
	lateRead bool
	// shared is true while a call is in progress that may reuse connections.
	shared bool
}

func newConn(netConn net.Conn, address string) *conn {
	stream := socket.NewConn(netConn)
	received := &receiver{conn: stream}
	limit := &limitedReader{source: received, left: noLimit}
	return &conn{
		Conn: netConn, address: address, stream: stream, receiver: received, limit: limit,
		reader: bufio.NewReaderSize(limit, readBufferBytes), openedAt: time.Now(),
	}
}

// pending reports whether bytes were received that nobody has read.
func (c *conn) pending() bool { return c.reader.Buffered() > 0 || len(c.limit.rest) > 0 }

// abort resets the connection. Bytes of a call that are still in the send buffer are dropped; after a close they would
// be delivered, however late, although nobody waits for the response.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// cancel aborts the connection. What it has received can still be read.
func (c *conn) cancel() {
	c.receiver.end()
	c.abort()
}

// NewPool returns an empty pool that opens its connections with dial and is the only user of the upstreams.
func NewPool(dial socket.DialFunc) *Pool { return New(Options{Dial: dial}) }

// New returns an empty pool and registers its metrics.
func New(o Options) *Pool {
	p := &Pool{options: o, upstreams: map[string]*upstreamConns{}, series: map[string]bool{}}
	p.heads = newHeadBudget(o.HeadMemory, o.Metrics)
	p.resets.register(o.Metrics)
	return p
}

// Allowed returns the number of connections to the upstream at address that this process may hold now, if the upstream
// accepts limit connections from all entry processes. A limit of 0 means none.
func (p *Pool) Allowed(address string, limit int) int {
	if limit <= 0 {
		return unlimited
	}
	now := time.Now()
	share, _ := shareOf(limit, p.entriesAt(now))
	if p.backingOff.Load() == 0 {
		return share
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[address]; u != nil {
		return u.backoff.allowed(share, now)
	}
	return share
}

// entriesAt returns the number of entry processes, which is determined every entriesTTL.
func (p *Pool) entriesAt(now time.Time) int {
	if p.options.Entries == nil {
		return 1
	}
	if e := p.entries.Load(); e != nil && now.Sub(e.at) < entriesTTL {
		return e.n
	}
	n := p.options.Entries()
	p.entries.Store(&timedEntries{n: n, at: now})
	return n
}

// get returns an idle connection to address, or opens a new one if there is none or if the call requires that.
// reused is true for an idle connection. The error is that of dial or ErrNoConnection.
func (p *Pool) get(ctx context.Context, address string, call *Call) (c *conn, reused bool, err error) {
	for !call.NewConnection {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && reusable(c.Conn) {
			p.begin(c)
			return c, true, nil
		}
		_ = c.Close()
		p.closed(address)
	}
	if err := p.reserve(address, call); err != nil {
		return nil, false, err
	}
	began := time.Now()
	netConn, err := p.options.Dial(ctx, address)
	if err != nil {
		p.closed(address)
		return nil, false, err
	}
	c = newConn(netConn, address)
	c.dialTime = c.openedAt.Sub(began)
	if !call.NewConnection {
		p.begin(c)
	}
	return c, false, nil
}

// Probe opens a new connection to address and closes it. The error is that of dial.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.mu.Lock()
	p.upstream(address).open++
	p.mu.Unlock()
	defer p.closed(address)
	c, err := p.options.Dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// upstream returns the state of the connections to address.
func (p *Pool) upstream(address string) *upstreamConns {
	u := p.upstreams[address]
	if u == nil {
		u = &upstreamConns{}
		p.upstreams[address] = u
	}
	return u
}

// takeIdle removes the most recently used idle connection to address from the pool, or returns nil.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[address]; u != nil {
		return u.takeIdle()
	}
	return nil
}

// reserve counts a connection to address that is about to be opened. Before it would exceed the share of this process, an
// idle one is closed; if there is none, reserve returns ErrNoConnection.
func (p *Pool) reserve(address string, call *Call) error {
	now := time.Now()
	entries := p.entriesAt(now)
	p.mu.Lock()
	u := p.upstream(address)
	u.service, u.limit = call.Service, call.MaxConnections
	p.observe(u.service)
	toClose, ok := u.reserve(entries, now)
	p.mu.Unlock()
	if toClose != nil {
		_ = toClose.Close()
	}
	if !ok {
		return ErrNoConnection
	}
	return nil
}

// begin counts a call on c that may reuse connections.
func (p *Pool) begin(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.shared = true
	p.upstream(c.address).begin(time.Now())
}

// end counts the end of a call on c.
func (p *Pool) end(u *upstreamConns, c *conn) {
	if c.shared {
		c.shared = false
		u.shared--
	}
}

// closed counts the end of a connection to address.
func (p *Pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream(address).open--
}

// drop aborts a connection after a call that was not completed.
func (p *Pool) drop(c *conn) {
	c.abort()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstream(c.address)
	p.end(u, c)
	u.open--
}

// put returns a connection to the pool after a complete response has been read from it. keepAlive is the response's
// Keep-Alive header. The connection is closed if the pool holds enough idle connections to its address.
func (p *Pool) put(c *conn, keepAlive string) {
	now := time.Now()
	entries := p.entriesAt(now)
	c.until = now.Add(idleTimeout(keepAlive))
	deadlineErr := c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstream(c.address)
	p.end(u, c)
	if deadlineErr != nil || !u.put(c, entries, now) {
		_ = c.Close()
		u.open--
	}
}

// Sweep closes the idle connections that have reached their idle timeout or are no longer needed, and forgets upstreams
// without connections.
func (p *Pool) Sweep() {
	now := time.Now()
	entries := p.entriesAt(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	backingOff := 0
	for address, u := range p.upstreams {
		for _, c := range u.expire(entries, now) {
			_ = c.Close()
		}
		share, _ := shareOf(u.limit, entries)
		switch {
		case u.unused(entries, now):
			delete(p.upstreams, address)
		case !u.backoff.over(share, now):
			backingOff++
		}
	}
	p.backingOff.Store(int64(backingOff))
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
