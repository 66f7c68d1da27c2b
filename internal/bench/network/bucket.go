package network

import (
	"sync"
	"sync/atomic"
	"time"
)

// minSleep is the shortest delay for which a transfer sleeps, since timers have no finer resolution.
const minSleep = 2 * time.Millisecond

// Bucket limits the rate of one direction of a link, as a leaky bucket, and counts the bytes that pass.
type Bucket struct {
	passed atomic.Int64

	mu sync.Mutex
	// rate is the bandwidth in bytes per second; 0 means no limit.
	rate float64
	// nextFree is the time at which the bytes reserved so far will have passed.
	nextFree time.Time
}

// NewBucket returns a bucket with a rate of bytesPerSecond; 0 means no limit.
func NewBucket(bytesPerSecond float64) *Bucket {
	return &Bucket{rate: bytesPerSecond}
}

// Passed returns the number of bytes reserved so far.
func (b *Bucket) Passed() int64 { return b.passed.Load() }

// reserve adds n bytes and returns the time at which they will have passed, the zero time if there is no limit.
func (b *Bucket) reserve(n int) time.Time {
	b.passed.Add(int64(n))
	if b.rate == 0 {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.nextFree.Before(now) {
		b.nextFree = now
	}
	b.nextFree = b.nextFree.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	return b.nextFree
}

// pass blocks until n bytes have passed all buckets; nil buckets are ignored.
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
	if wait := time.Until(until); wait > minSleep {
		time.Sleep(wait)
	}
}
