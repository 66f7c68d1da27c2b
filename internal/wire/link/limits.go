package link

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// limitedName labels the metrics and log lines of limited listeners.
	limitedName = "control"
	// sendTimeout is the time within which a peer must accept 16 KiB. The slowest links take less than 0.1 s for that.
	sendTimeout = 10 * time.Second
	// memoryFactor is the memory that is charged for each byte of a message: buffers grow to twice their content, and the
	// message is decoded into a copy.
	memoryFactor = 3
	// freeBytes is the size of a message up to which nothing is charged. Most messages are smaller.
	freeBytes = 4 << 10
	// memoryTimeout is the time for which the receipt of a message waits for memory.
	memoryTimeout = 2 * time.Second
	// retryInterval is the interval at which a connection that waits for memory tries again.
	retryInterval = 10 * time.Millisecond
	// stallTime is the time without received bytes after which an incomplete message counts as stalled.
	stallTime = time.Second
	// knownStallTime replaces stallTime for known peers, whose processes or links may be paused for a few seconds.
	knownStallTime = 5 * time.Second
	// messageTimeout is the time within which a message must be received. The slowest links carry the largest message in
	// less than 20 s.
	messageTimeout = 30 * time.Second
	// idleRetention is the time after which an idle connection that still has the buffers of a large message is closed.
	idleRetention = 10 * time.Second
	// logInterval is the minimum interval between two log lines about memory.
	logInterval = 10 * time.Second
)

// ErrNoMemory means that there is no memory for a message that is being received.
var ErrNoMemory = errors.New("no memory for the message")

// Limits are the limits for the connections that a process accepts from other processes.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory for messages that are received, for all connections together. Connections that have not completed
	// a call get half of it.
	Bytes int64
	// Metrics and Log may be nil.
	Metrics *metrics.Set
	Log     *log.Logger
}

// limiter is a listener whose connections share the memory for received messages.
type limiter struct {
	*listener.Listener
	// memory is charged for all connections, unknown also for those that have not completed a call.
	memory, unknown *listener.Budget
	log             *log.Logger
	// refused counts the connections closed for lack of memory, reclaimed those closed in favour of others.
	refused, reclaimed atomic.Int64
	loggedAt           atomic.Int64

	mu sync.Mutex
	// holders are the connections for which memory is held.
	holders map[*conn]struct{}
}

// Limit returns a listener that accepts the connections of inner within the limits. It must wrap the listener below TLS and
// be served by Serve. The error says which limit is missing.
func Limit(inner net.Listener, o Limits) (net.Listener, error) {
	l := &limiter{holders: map[*conn]struct{}{}, log: o.Log}
	var err error
	l.Listener, err = listener.New(inner, listener.Options{
		Name: limitedName, MaxConnections: o.Connections, WriteTimeout: sendTimeout, Metrics: o.Metrics, Log: o.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("limit control connections: %w", err)
	}
	if l.memory, err = listener.NewBudget(limitedName, o.Bytes, o.Metrics); err != nil {
		return nil, fmt.Errorf("limit control messages: %w", err)
	}
	if l.unknown, err = listener.NewBudget(limitedName+"-unknown", o.Bytes/2, o.Metrics); err != nil {
		return nil, fmt.Errorf("limit control messages: %w", err)
	}
	if o.Metrics != nil {
		o.Metrics.NewGauge(`oriolehub_control_closed_total{reason="memory"}`, func() float64 { return float64(l.refused.Load()) })
		o.Metrics.NewGauge(`oriolehub_control_closed_total{reason="reclaimed"}`, func() float64 { return float64(l.reclaimed.Load()) })
	}
	return l, nil
}

// Accept returns the next connection.
func (l *limiter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c.(*listener.Conn), limiter: l}, nil
}

// The order in which connections are closed to free memory.
const (
	// rankStalled: an unknown peer has not sent anything for stallTime.
	rankStalled = iota
	// rankIdle: no call is in progress, but buffers of the last one are held, or a known peer has not sent anything for
	// knownStallTime.
	rankIdle
	// rankUnknown: an unknown peer sends a message. It yields only to known peers.
	rankUnknown
	rankNever
)

// reclaim closes one connection in favour of c, if one may be closed.
func (l *limiter) reclaim(c *conn) {
	known := c.isKnown()
	var victim *conn
	best, most := rankNever, int64(0)
	l.mu.Lock()
	for other := range l.holders {
		rank, held := other.standing(time.Now())
		if other == c || rank == rankNever || rank == rankUnknown && !known {
			continue
		}
		if rank < best || rank == best && held > most {
			victim, best, most = other, rank, held
		}
	}
	l.mu.Unlock()
	if victim != nil {
		l.reclaimed.Add(1)
		_ = victim.Close()
	}
}

// countRefusal counts a connection that is closed for lack of memory, and logs the totals at most once in logInterval.
func (l *limiter) countRefusal() {
	l.refused.Add(1)
	now, last := time.Now().UnixNano(), l.loggedAt.Load()
	if l.log == nil || now-last < int64(logInterval) || !l.loggedAt.CompareAndSwap(last, now) {
		return
	}
	l.log.Warn().Int64("Used", l.memory.Used()).Int64("Limit", l.memory.Size()).Int64("Unknown", l.unknown.Used()).
		Int64("Refused", l.refused.Load()).Int64("Reclaimed", l.reclaimed.Load()).Msg("no memory for messages of other processes; closing connections")
}
