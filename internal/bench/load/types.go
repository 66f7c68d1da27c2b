package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is a kind of call.
type Class struct {
	Name   string
	Method string
	// Path is the path at an entry process, group included.
	Path string
	// Tokens is the length of a completion; 0 for calls to plain services.
	Tokens int
	// Once is true for calls that must not run twice.
	Once bool
	// PerSecond is the rate at which calls of the class arrive.
	PerSecond float64
}

// Counts is what became of the calls of one phase.
type Counts struct {
	Sent     int64
	Answered int64
	NotRun   int64
	Unknown  int64
	// Cut counts answers whose HTTP library reported a broken body.
	Cut int64
	// Wrong counts answers that don't belong to the call.
	Wrong int64
	// Short counts answers that looked whole to the HTTP library but were not.
	Short int64
	// Errors counts calls that found no entry process.
	Errors int64
}

const (
	// lowestMicros and highestMicros bound the latencies recorded.
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// Phase gathers the calls that began in one part of an experiment.
type Phase struct {
	Name string

	sent, answered, notRun, unknown, cut, wrong, short, errors atomic.Int64

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	byAccount map[string]int64
}

func newPhase(name string) *Phase {
	return &Phase{Name: name, latency: hdrhistogram.New(lowestMicros, highestMicros, digits), byAccount: map[string]int64{}}
}

// Counts returns what became of the calls so far.
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

// Quantile returns the latency of answered calls below which the given percentage lies.
func (p *Phase) Quantile(percent float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// AnsweredByAccount returns the answered calls of each client account.
func (p *Phase) AnsweredByAccount() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int64{}
	for k, v := range p.byAccount {
		out[k] = v
	}
	return out
}

func (p *Phase) answer(account string, took time.Duration) {
	p.answered.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.latency.RecordValue(min(max(took.Microseconds(), lowestMicros), highestMicros))
	p.byAccount[account]++
}
