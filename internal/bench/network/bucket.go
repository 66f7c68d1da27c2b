package network

import (
	"sync"
	"sync/atomic"
	"time"
)

// slack is the backlog below which a sender is not held up, since timers are not finer.
const slack = 2 * time.Millisecond

// Bucket is one direction of a link: bytes pass one after the other at its rate.
type Bucket struct {
	passed atomic.Int64

	mu   sync.Mutex
	rate float64
	free time.Time
}

// NewBucket returns a bucket of bytesPerSecond, or one without limit for 0.
func NewBucket(bytesPerSecond float64) *Bucket {
	return &Bucket{rate: bytesPerSecond}
}

// Passed returns the bytes that have passed.
func (b *Bucket) Passed() int64 { return b.passed.Load() }

// reserve returns when n more bytes will have passed.
func (b *Bucket) reserve(n int) time.Time {
	b.passed.Add(int64(n))
	if b.rate == 0 {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	return b.free
}

// pass returns once n bytes have passed all buckets.
func pass(n int, buckets ...*Bucket) {
	var until time.Time
	for _, b := range buckets {
		if b == nil {
			continue
		}
		if at := b.reserve(n); at.After(until) {
			until = at
		}
	}
	if wait := time.Until(until); wait > slack {
		time.Sleep(wait)
	}
}
