package listener

import (
	"sync/atomic"
	"time"
)

// logInterval is the minimum interval between two log lines of a listener.
const logInterval = 10 * time.Second

// The reasons for which connections are closed.
const (
	// reasonRefused: a new connection exceeded the limit and no other could be closed.
	reasonRefused = "refused"
	// reasonLimit: a connection without progress was closed for a new one.
	reasonLimit = "limit"
	// reasonMemory: a stalled connection was closed to free memory.
	reasonMemory = "memory"
	// reasonHeader: there was no memory for a request header.
	reasonHeader = "header"
	// reasonUnread: the peer did not read what was sent to it.
	reasonUnread = "unread"
)

var reasons = [...]string{reasonRefused, reasonLimit, reasonMemory, reasonHeader, reasonUnread}

// counts counts the connections that were closed, by reason.
type counts struct {
	closed   [len(reasons)]atomic.Int64
	loggedAt atomic.Int64
}

// register registers the metrics of l.
func (n *counts) register(l *Listener) {
	set, name := l.options.Metrics, l.options.Name
	if set == nil {
		return
	}
	set.NewGauge(`oriolehub_listener_connections{listener="`+name+`"}`, func() float64 { return float64(l.Open()) })
	set.NewGauge(`oriolehub_listener_connections_limit{listener="`+name+`"}`, func() float64 { return float64(l.options.MaxConnections) })
	for i, reason := range reasons {
		set.NewGauge(`oriolehub_listener_closed_total{listener="`+name+`",reason="`+reason+`"}`, func() float64 { return float64(n.closed[i].Load()) })
	}
}

// Closed returns the number of connections that were closed to keep to the limits.
func (l *Listener) Closed() int64 {
	sum := int64(0)
	for i := range reasons {
		sum += l.counts.closed[i].Load()
	}
	return sum
}

// count counts a closed connection. It logs the totals, at most once in logInterval.
func (l *Listener) count(reason string) {
	for i, r := range reasons {
		if r == reason {
			l.counts.closed[i].Add(1)
		}
	}
	now, last := int64(l.now())+1, l.counts.loggedAt.Load()
	if l.options.Log == nil || last != 0 && now-last < int64(logInterval) || !l.counts.loggedAt.CompareAndSwap(last, now) {
		return
	}
	line := l.options.Log.Warn().Str("Listener", l.options.Name).Int("Open", l.Open())
	for i, r := range reasons {
		line = line.Int64(r, l.counts.closed[i].Load())
	}
	line.Msg("connections closed to keep to the limits")
}
