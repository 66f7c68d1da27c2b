package dispatch

import "sync/atomic"

const (
	// retryPerMille is the credit that each request adds to the budget, in thousandths of a retry.
	retryPerMille = 100
	// maxRetryPerMille is the maximum credit that the budget accumulates, in thousandths of a retry.
	maxRetryPerMille = 50_000
)

// budget limits the retries to a fraction of the requests, so that retries can't double the load on a failing system.
type budget struct {
	// perMille is the accumulated credit in thousandths of a retry.
	perMille atomic.Int64
}

// deposit adds the credit for one request.
func (b *budget) deposit() {
	if b.perMille.Add(retryPerMille) > maxRetryPerMille {
		b.perMille.Store(maxRetryPerMille)
	}
}

// take reports whether there is credit for one retry, and deducts it if so.
func (b *budget) take() bool {
	if b.perMille.Add(-1000) >= 0 {
		return true
	}
	b.perMille.Add(1000)
	return false
}
