package placement

import (
	"sync"
	"time"
)

// tokenBucket limits the rate of the requests that this process sends to an upstream. It is full at the beginning and is
// safe for concurrent use.
type tokenBucket struct {
	mu sync.Mutex
	// tokens is the number of tokens in the bucket at the time at.
	tokens float64
	at     time.Time
}

// refill is the rate in tokens per second at which a bucket is refilled, up to capacity.
type refill struct {
	rate     float64
	capacity float64
}

// take removes a token from the bucket and reports whether there was one.
func (b *tokenBucket) take(r refill, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = b.refilled(r, now)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until take succeeds, 0 if it does now.
func (b *tokenBucket) wait(r refill, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := 1 - b.refilled(r, now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(min(missing/r.rate, maxTokenWait.Seconds()) * float64(time.Second))
}

// refilled returns the number of tokens at the time now.
func (b *tokenBucket) refilled(r refill, now time.Time) float64 {
	if b.at.IsZero() {
		return r.capacity
	}
	return min(r.capacity, b.tokens+r.rate*now.Sub(b.at).Seconds())
}
