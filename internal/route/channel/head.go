package channel

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

const (
	// maxHeadLines limits the lines that are read before the end of the response's header, as maxHeadBytes limits the bytes.
	maxHeadLines = 512
	// headByteCost and headLineCost are the memory in bytes that is charged for a byte and for a line of a head: the line while
	// it is read and the values made of it, the entry in the map of fields and its slice of values.
	headByteCost = 2
	headLineCost = 256
	// freeHeadCost is the cost up to which a head needs none of the memory that all calls share, so that calls with usual
	// heads do not fail because of others.
	freeHeadCost = 8 << 10
	// headMemoryTimeout is the time for which the reading of a head waits for memory.
	headMemoryTimeout = 500 * time.Millisecond
	// defaultHeadMemory is Options.HeadMemory if that is 0.
	defaultHeadMemory = 8 << 20
)

// errNoHeadMemory means that there is no memory for the head of a response. The upstream is not at fault.
var errNoHeadMemory = errors.New("no memory for the head of the answer")

// newHeadBudget returns the memory for the heads of all responses together, with the metrics of other budgets but for its size.
func newHeadBudget(size int64, set *metrics.Set) *listener.Budget {
	if size == 0 {
		size = defaultHeadMemory
	}
	b, err := listener.NewBudget("response_heads", size, nil)
	if err != nil {
		// A negative size is an error of the program.
		panic(err)
	}
	if set != nil {
		set.NewGauge(`oriolehub_budget_bytes{budget="response_heads"}`, func() float64 { return float64(b.Used()) })
		set.NewGauge(`oriolehub_budget_refused_total{budget="response_heads"}`, func() float64 { return float64(b.Refused()) })
	}
	return b
}

// headMeter charges for the heads that are read for one call.
type headMeter struct {
	// ctx is the context of the call, which ends the wait for memory.
	ctx    context.Context
	budget *listener.Budget
	lines  int
	// cost is the memory that the heads so far are taken to need, charged the part of it that was acquired.
	cost    int64
	charged int64
	// scan is that of the latest head.
	scan response.Scan
}

// end returns the length of the part of data up to the end of the head, or of all of data.
func (m *headMeter) end(data []byte) int {
	for i, b := range data {
		if m.scan.Add(b) {
			return i + 1
		}
	}
	return len(data)
}

// add charges for a part of a head.
func (m *headMeter) add(data []byte) error {
	lines := bytes.Count(data, []byte{'\n'})
	if m.lines += lines; m.lines > maxHeadLines {
		return errTooLong
	}
	m.cost += headByteCost*int64(len(data)) + headLineCost*int64(lines)
	due := m.cost - freeHeadCost - m.charged
	if due <= 0 {
		return nil
	}
	if !m.budget.Acquire(m.ctx, due, headMemoryTimeout) {
		return errNoHeadMemory
	}
	m.charged += due
	return nil
}

// release returns what was acquired.
func (m *headMeter) release() {
	m.budget.Release(m.charged)
	m.charged = 0
}
