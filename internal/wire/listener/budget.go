package listener

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// retryInterval is the interval at which a waiting Acquire tries again.
const retryInterval = 10 * time.Millisecond

// ErrBudget means that a Budget without a positive size was requested.
var ErrBudget = errors.New("memory budget must be positive")

// Budget is a number of bytes that all connections of one or more listeners may hold together. Its methods are safe for
// concurrent use. A large request that waits does not hold up smaller ones.
type Budget struct {
	size    int64
	used    atomic.Int64
	refused atomic.Int64
	// waiting is the number of calls that wait for bytes and go before those that wait behind them.
	waiting atomic.Int64
}

// Place is the place of a call among those that wait for bytes of a Budget.
type Place int

const (
	// InTurn is the place of usual calls. None of them goes before another one.
	InTurn Place = iota
	// Behind is the place of calls that get bytes only while no call waits in turn.
	Behind
)

// NewBudget returns a budget of size bytes. It registers the bytes in use and the number of refusals in set, labelled with
// name, unless set is nil.
func NewBudget(name string, size int64, set *metrics.Set) (*Budget, error) {
	if size <= 0 {
		return nil, fmt.Errorf("%w: %s: %d bytes", ErrBudget, name, size)
	}
	b := &Budget{size: size}
	if set != nil {
		set.NewGauge(`oriolehub_budget_bytes{budget="`+name+`"}`, func() float64 { return float64(b.used.Load()) })
		set.NewGauge(`oriolehub_budget_limit_bytes{budget="`+name+`"}`, func() float64 { return float64(b.size) })
		set.NewGauge(`oriolehub_budget_refused_total{budget="`+name+`"}`, func() float64 { return float64(b.refused.Load()) })
	}
	return b, nil
}

// Size returns the number of bytes that may be held.
func (b *Budget) Size() int64 { return b.size }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns the number of requests for bytes that failed in the end.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// TryAcquire acquires n bytes, or none and returns false if they are not free.
func (b *Budget) TryAcquire(n int64) bool {
	for {
		used := b.used.Load()
		if n > b.size-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n acquired bytes.
func (b *Budget) Release(n int64) {
	if b.used.Add(-n) < 0 {
		panic("listener: more bytes released than acquired")
	}
}

// Acquire waits for n bytes until ctx is done or wait has passed, and returns whether it has acquired them.
func (b *Budget) Acquire(ctx context.Context, n int64, wait time.Duration) bool {
	return b.acquire(ctx, InTurn, n, wait, nil)
}

// tryAcquire is TryAcquire for a call with the given place.
func (b *Budget) tryAcquire(p Place, n int64) bool {
	return (p == InTurn || b.waiting.Load() == 0) && b.TryAcquire(n)
}

// acquire waits for n bytes until ctx is done or wait has passed. It calls reclaim, if not nil, before each further attempt and
// stops waiting if that returns false.
func (b *Budget) acquire(ctx context.Context, p Place, n int64, wait time.Duration, reclaim func() bool) bool {
	if b.tryAcquire(p, n) {
		return true
	}
	if n > b.size {
		b.refused.Add(1)
		return false
	}
	if p == InTurn {
		b.waiting.Add(1)
		defer b.waiting.Add(-1)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		if reclaim != nil && !reclaim() {
			return false
		}
		select {
		case <-retry.C:
		case <-timeout.C:
			b.refused.Add(1)
			return false
		case <-ctx.Done():
			return false
		}
		if b.tryAcquire(p, n) {
			return true
		}
	}
}
