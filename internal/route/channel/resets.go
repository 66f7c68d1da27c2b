package channel

import (
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// resetWindow is the time after a connection was established in which its loss is attributed to the upstream's
	// connection limit, if the upstream has sent nothing on it. An upstream resets connections beyond its limit when it
	// accepts them.
	resetWindow = 250 * time.Millisecond
	// resetLogInterval is the minimum time between two log lines about resets.
	resetLogInterval = 5 * time.Second
	// maxServiceSeries limits the services with metrics of their own; the others are counted as otherServices.
	maxServiceSeries = 32
	otherServices    = "other"
)

// resets counts the connections that upstreams have reset because of their limits. Its counters are nil without metrics.
type resets struct {
	notSent *metrics.Counter
	sent    *metrics.Counter
	// loggedAt is the time of the last log line, sinceLogged the number of resets since. They are protected by Pool.mu.
	loggedAt    time.Time
	sinceLogged int
}

func (r *resets) register(set *metrics.Set) {
	if set == nil {
		return
	}
	r.notSent = set.NewCounter(`oriolehub_upstream_connection_resets_total{sent="no"}`)
	r.sent = set.NewCounter(`oriolehub_upstream_connection_resets_total{sent="yes"}`)
}

func (r *resets) count(sent bool) {
	c := r.notSent
	if sent {
		c = r.sent
	}
	if c != nil {
		c.Inc()
	}
}

// resetByLimit records that the upstream at address has ended a new connection, presumably because it has too many. sent is
// true if bytes of a call had been sent. The connection must not be counted as open any more.
func (p *Pool) resetByLimit(address string, sent bool) {
	now := time.Now()
	entries := p.entriesAt(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets.count(sent)
	p.resets.sinceLogged++
	p.backingOff.Add(1)
	u := p.upstream(address)
	u.backoff.reset(u.open, now)
	if p.options.Log == nil || now.Sub(p.resets.loggedAt) < resetLogInterval {
		return
	}
	share, _ := shareOf(u.limit, entries)
	p.options.Log.Warn().Str("Service", u.service).Str("Address", address).Int("Open", u.open).Int("Idle", len(u.idle)).
		Int("Share", share).Int("Limit", u.limit).Int("Entries", entries).Bool("Sent", sent).Int("Resets", p.resets.sinceLogged).
		Msg("upstream resets connections beyond its limit")
	p.resets.loggedAt, p.resets.sinceLogged = now, 0
}

// suspected reports whether the upstream at address has reset a connection because of its limit within suspicionTime.
func (p *Pool) suspected(address string) bool {
	if p.backingOff.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[address]
	return u != nil && u.backoff.suspected(time.Now())
}

// lostByLimit reports whether the loss of c after an error looks like a reset by the upstream's connection limit.
func (c *conn) lostByLimit(err error) bool {
	return c.limit.total == 0 && time.Since(c.openedAt) < resetWindow && connectionLost(err)
}

// connectionLost reports whether err means that the peer has closed or reset the connection.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// observe registers the metrics of a service when it is first used. It requires Pool.mu.
func (p *Pool) observe(service string) {
	if p.options.Metrics == nil || p.series[service] || len(p.series) > maxServiceSeries {
		return
	}
	if len(p.series) == maxServiceSeries {
		service = otherServices
	}
	p.series[service] = true
	label := strconv.Quote(service)
	p.options.Metrics.GetOrCreateGauge(`oriolehub_upstream_connections{service=`+label+`,state="open"}`, func() float64 { return float64(p.countOf(service).open) })
	p.options.Metrics.GetOrCreateGauge(`oriolehub_upstream_connections{service=`+label+`,state="idle"}`, func() float64 { return float64(p.countOf(service).idle) })
}

// connectionCount is a number of connections; idle ones are open too.
type connectionCount struct{ open, idle int }

// countOf returns the number of connections to the upstreams of a service; that of otherServices includes all without
// metrics of their own.
func (p *Pool) countOf(service string) connectionCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	var n connectionCount
	for _, u := range p.upstreams {
		if u.service == service || service == otherServices && !p.series[u.service] {
			n.open += u.open
			n.idle += len(u.idle)
		}
	}
	return n
}
