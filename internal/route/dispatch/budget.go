package dispatch

import "sync/atomic"

const (
	// retryPerMille is how much of a retry each request pays for, in thousandths.
	retryPerMille = 100
	// maxRetryPerMille bounds the retries saved up, in thousandths.
	maxRetryPerMille = 50_000
)

// budget bounds the retries to a part of the requests, so that retries can't double the load of a failing system.
type budget struct {
	perMille atomic.Int64
}

// deposit adds the part of a retry that one request pays for.
func (b *budget) deposit() {
	if b.perMille.Add(retryPerMille) > maxRetryPerMille {
		b.perMille.Store(maxRetryPerMille)
	}
}

// take pays for one retry, if there is enough.
func (b *budget) take() bool {
	if b.perMille.Add(-1000) >= 0 {
		return true
	}
	b.perMille.Add(1000)
	return false
}
