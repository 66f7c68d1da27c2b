package concurrency

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// maxLinesPerSecond limits the log lines about changed limits in a process; many servers that are slow at once would fill the log.
const maxLinesPerSecond = 10

// Reasons for which an upstream gets less than its slots.
const (
	reasonListed   = "just listed"
	reasonWeights  = "loaded weights"
	reasonSilence  = "reports again after silence"
	reasonFailures = "failures"
	reasonSlow     = "slower than the others"
	reasonPace     = "reports that it is slow"
)

// Monitor logs and counts the changes of limits. It is safe for concurrent use; nil does nothing.
type Monitor struct {
	log     *log.Logger
	shrinks *metrics.Counter
	growths *metrics.Counter

	mu sync.Mutex
	// second is the current second, lines the number of lines in it.
	second     int64
	lines      int
	suppressed atomic.Int64
}

// NewMonitor returns a Monitor and registers its metrics in set. held returns the number of upstreams that get less than
// their slots.
func NewMonitor(l *log.Logger, set *metrics.Set, held func() int) *Monitor {
	set.NewGauge("oriolehub_upstreams_below_slots", func() float64 { return float64(held()) })
	return &Monitor{
		log:     l,
		shrinks: set.NewCounter("oriolehub_concurrency_shrinks_total"),
		growths: set.NewCounter("oriolehub_concurrency_growths_total"),
	}
}

func (m *Monitor) shrunk() {
	if m != nil {
		m.shrinks.Inc()
	}
}

func (m *Monitor) grew() {
	if m != nil {
		m.growths.Inc()
	}
}

// held logs that an upstream gets less than its slots.
func (m *Monitor) held(upstream, reason string, limit, slots int) {
	if m != nil && m.mayLog() {
		m.log.Info().Str("Upstream", upstream).Str("Cause", reason).Int("Limit", limit).Int("Slots", slots).Int64("Suppressed", m.suppressed.Swap(0)).Msg("upstream gets fewer requests than its slots")
	}
}

// full logs that an upstream gets all of its slots again.
func (m *Monitor) full(upstream string, slots int, after time.Duration) {
	if m != nil && m.mayLog() {
		m.log.Info().Str("Upstream", upstream).Int("Slots", slots).Dur("After", after).Int64("Suppressed", m.suppressed.Swap(0)).Msg("upstream gets all of its slots")
	}
}

// mayLog reports whether one more line may be logged in this second, and counts it.
func (m *Monitor) mayLog() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if second := time.Now().Unix(); second != m.second {
		m.second, m.lines = second, 0
	}
	m.lines++
	if m.lines > maxLinesPerSecond {
		m.suppressed.Add(1)
		return false
	}
	return true
}
