package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is a kind of request.
type Class struct {
	Name   string
	Method string
	// Path is the URL path at an entry process, including the group.
	Path string
	// Tokens is the requested length of a completion in tokens; 0 for requests to plain services.
	Tokens int
	// Once marks requests that must not run more than once.
	Once bool
	// PerSecond is the mean rate of requests of the class.
	PerSecond float64
}

// Counts holds the number of requests by outcome.
type Counts struct {
	Sent     int64
	Answered int64
	NotRun   int64
	Unknown  int64
	// Cut counts responses that ended early with an error from the HTTP client.
	Cut int64
	// Wrong counts responses that do not belong to the request.
	Wrong int64
	// Short counts responses that ended early without an error from the HTTP client.
	Short int64
	// Errors counts requests that got no response or one with an unexpected status.
	Errors int64
}

const (
	// minLatencyMicros and maxLatencyMicros are the limits of recorded latencies; values outside are clamped.
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	// significantDigits is the precision of recorded latencies in decimal digits.
	significantDigits = 3
)

// Phase collects the outcomes and latencies of the requests that began in one part of an experiment.
type Phase struct {
	Name string

	sent, answered, notRun, unknown, cut, wrong, short, errors atomic.Int64

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	byAccount map[string]int64
}

func newPhase(name string) *Phase {
	return &Phase{Name: name, latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), byAccount: map[string]int64{}}
}

// Counts returns the counts so far.
func (p *Phase) Counts() Counts {
	return Counts{
		Sent:     p.sent.Load(),
		Answered: p.answered.Load(),
		NotRun:   p.notRun.Load(),
		Unknown:  p.unknown.Load(),
		Cut:      p.cut.Load(),
		Wrong:    p.wrong.Load(),
		Short:    p.short.Load(),
		Errors:   p.errors.Load(),
	}
}

// Quantile returns the latency below which the given percentage of the answered requests lies.
func (p *Phase) Quantile(percent float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// AnsweredByAccount returns the number of answered requests of each client account.
func (p *Phase) AnsweredByAccount() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int64{}
	for k, v := range p.byAccount {
		out[k] = v
	}
	return out
}

// recordAnswer counts an answered request and records its latency.
func (p *Phase) recordAnswer(account string, latency time.Duration) {
	p.answered.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.latency.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	p.byAccount[account]++
}
