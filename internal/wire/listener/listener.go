package listener

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

const (
	// newcomerGrace is the time after its last progress during which a connection that awaits or sends a request header is
	// not closed in favour of others. Otherwise a crowd that connects all the time would displace callers whose request is on
	// its way.
	newcomerGrace = 250 * time.Millisecond
	// acceptRetryDelay is the time between a failure to accept a connection and the next try.
	acceptRetryDelay = 50 * time.Millisecond
	// stallTime is the time without progress after which a request in progress counts as stalled.
	stallTime = 2 * time.Second
)

// ErrOptions means that the options of a listener are contradictory or set no limit.
var ErrOptions = errors.New("invalid limits of a listener")

// ErrDisplaced means that a listener has closed a connection with a request in progress, in favour of others or because its peer did
// not read the response.
var ErrDisplaced = errors.New("connection closed to keep to the limits")

// Options are the limits of a Listener.
type Options struct {
	// Name labels the metrics and log lines.
	Name string
	// MaxConnections is the number of open connections. It must be positive.
	MaxConnections int
	// MaxPerAddress is the number of open connections from one IP address, 0 for no such limit. It must not be set where a
	// load balancer hides the addresses of callers.
	MaxPerAddress int
	// HTTP means that an http.Server serves the connections and that its ConnState and ConnContext hooks are those of the
	// listener.
	HTTP bool
	// Headers is the memory for request headers, nil for no limit. It requires HTTP.
	Headers *Budget
	// WriteTimeout is the time within which a peer must accept a part of writeChunk bytes, 0 for no limit.
	WriteTimeout time.Duration
	// SocketBuffer is the size in bytes of the receive and send buffers that the kernel holds for a connection, 0 for the
	// system's default.
	SocketBuffer int
	// Metrics and Log may be nil.
	Metrics *metrics.Set
	Log     *log.Logger
}

// Listener is a net.Listener that limits its open connections. At the limit, a new connection takes the place of the one
// without progress for the longest time. A connection with a request in progress that advances is not chosen.
type Listener struct {
	net.Listener
	options Options
	epoch   time.Time
	counts  counts
	// reclaimedAt is the time of the last search for a connection to close for its memory.
	reclaimedAt atomic.Int64

	mu          sync.Mutex
	connections map[*Conn]struct{}
	perAddress  map[string]int
}

// New returns a listener that accepts the connections of inner, or ErrOptions.
func New(inner net.Listener, o Options) (*Listener, error) {
	switch {
	case o.MaxConnections <= 0:
		return nil, fmt.Errorf("%w: %s: MaxConnections is %d", ErrOptions, o.Name, o.MaxConnections)
	case o.MaxPerAddress < 0 || o.WriteTimeout < 0 || o.SocketBuffer < 0:
		return nil, fmt.Errorf("%w: %s: negative limit", ErrOptions, o.Name)
	case o.Headers != nil && !o.HTTP:
		return nil, fmt.Errorf("%w: %s: Headers without HTTP", ErrOptions, o.Name)
	}
	l := &Listener{
		Listener: inner, options: o, epoch: time.Now(),
		connections: map[*Conn]struct{}{}, perAddress: map[string]int{},
	}
	l.counts.register(l)
	return l, nil
}

// Accept returns the next connection. It closes connections that exceed a limit and cannot replace another one. It tries again
// after an error that need not come again, after which a server would end.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil && lasting(err) {
			return nil, err
		}
		if err != nil {
			l.waitAfter(err)
			continue
		}
		c := newConn(l, inner)
		if l.admit(c) {
			c.setBuffers()
			return c, nil
		}
		l.count(reasonRefused)
		closeAtOnce(inner)
	}
}

// lasting reports whether err means that no connection will be accepted any more. Others are for lack of memory or descriptors,
// or belong to one connection.
func lasting(err error) bool {
	var number syscall.Errno
	if errors.Is(err, net.ErrClosed) || !errors.As(err, &number) {
		return true
	}
	return number == syscall.EBADF || number == syscall.EINVAL || number == syscall.ENOTSOCK
}

// waitAfter logs a failure to accept a connection and waits before the next try.
func (l *Listener) waitAfter(err error) {
	if l.options.Log != nil {
		l.options.Log.Warn().Str("Listener", l.options.Name).Err(err).Msg("cannot accept a connection; trying again")
	}
	time.Sleep(acceptRetryDelay)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// CloseUnused closes the connections on which nothing has been received.
func (l *Listener) CloseUnused() {
	var unused []*Conn
	l.mu.Lock()
	for c := range l.connections {
		if c.yield(phaseNew) {
			unused = append(unused, c)
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		_ = c.Close()
	}
}

// admit adds c if there is room or another connection can be closed.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	limit := l.options.MaxPerAddress
	switch {
	case limit > 0 && l.perAddress[c.address] >= limit:
		victim = l.leastRecent(newcomerGrace, func(other *Conn) bool { return other.address == c.address })
	case len(l.connections) >= l.options.MaxConnections:
		if victim = l.leastRecent(newcomerGrace, nil); victim == nil {
			victim = l.leastRecentOfBusiest(c.address)
		}
	default:
		l.add(c)
		l.mu.Unlock()
		return true
	}
	if victim == nil {
		l.mu.Unlock()
		return false
	}
	l.remove(victim)
	l.add(c)
	l.mu.Unlock()
	l.closeFor(victim, reasonLimit)
	return true
}

// leastRecentOfBusiest returns the connection that is closed for one from the given address although all are recent, nil if
// there is none. It is one of the address that has the most, if that has more: a crowd that reconnects all the time does not
// keep out others.
func (l *Listener) leastRecentOfBusiest(newcomer string) *Conn {
	busiest := newcomer
	for address, n := range l.perAddress {
		if n > l.perAddress[busiest] {
			busiest = address
		}
	}
	if l.perAddress[busiest] <= l.perAddress[newcomer]+1 {
		return nil
	}
	return l.leastRecent(0, func(c *Conn) bool { return c.address == busiest })
}

// leastRecent returns the connection among those that pick selects that is closed first, on which no further request begins, nil
// if none may be closed. One that awaits or sends a request header may be closed only if it made no progress for the time grace.
// The caller holds l.mu. The search takes time proportional to the number of connections, but runs only at a limit.
func (l *Listener) leastRecent(grace time.Duration, pick func(*Conn) bool) *Conn {
	for {
		c, s := l.search(grace, pick)
		if c == nil || c.yield(s.phase) {
			return c
		}
	}
}

// search returns the connection that leastRecent is to return, with its place.
func (l *Listener) search(grace time.Duration, pick func(*Conn) bool) (out *Conn, first standing) {
	now := l.now()
	for c := range l.connections {
		if pick != nil && !pick(c) {
			continue
		}
		if s, ok := c.standing(now, grace); ok && (out == nil || s.before(first)) {
			out, first = c, s
		}
	}
	return out, first
}

// reclaim closes the connection among those that pick selects that is closed first, if there is one.
// It does nothing if a connection was searched less than retryInterval ago: many may wait for memory, and each search looks at
// all connections.
func (l *Listener) reclaim(pick func(*Conn) bool) {
	last, now := l.reclaimedAt.Load(), int64(l.now())
	if now-last < int64(retryInterval) || !l.reclaimedAt.CompareAndSwap(last, now) {
		return
	}
	l.mu.Lock()
	victim := l.leastRecent(newcomerGrace, pick)
	if victim != nil {
		l.remove(victim)
	}
	l.mu.Unlock()
	if victim != nil {
		l.closeFor(victim, reasonMemory)
	}
}

// closeFor closes a connection that had to yield.
func (l *Listener) closeFor(c *Conn, reason string) {
	l.count(reason)
	c.displaced.Store(true)
	if c.yieldedIn != phaseIdle {
		setReset(c.Conn)
	}
	_ = c.Close()
}

// add and remove register connections. The caller holds l.mu.
func (l *Listener) add(c *Conn) {
	l.connections[c] = struct{}{}
	l.perAddress[c.address]++
}

func (l *Listener) remove(c *Conn) {
	if _, ok := l.connections[c]; !ok {
		return
	}
	delete(l.connections, c)
	if l.perAddress[c.address]--; l.perAddress[c.address] == 0 {
		delete(l.perAddress, c.address)
	}
}

// now returns the time since the listener was opened.
func (l *Listener) now() time.Duration { return time.Since(l.epoch) }

// ConnState is the hook of http.Server that follows the requests of each connection.
func (l *Listener) ConnState(c net.Conn, s http.ConnState) {
	if conn, ok := c.(*Conn); ok {
		conn.setState(s)
	}
}
