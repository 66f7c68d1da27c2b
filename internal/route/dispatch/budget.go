package dispatch

import "sync/atomic"

const (
	// depositPerMille is the credit that each request adds to the budget, in thousandths of a retry.
	depositPerMille = 100
	// maxCreditPerMille is the maximum credit that the budget accumulates, in thousandths of a retry.
	maxCreditPerMille = 50_000
)

// retryBudget limits the retries to a fraction of the requests, so that retries can't double the load on a failing
// system.
type retryBudget struct {
	// creditPerMille is the accumulated credit in thousandths of a retry.
	creditPerMille atomic.Int64
}

// deposit adds the credit for one request.
func (b *retryBudget) deposit() {
	if b.creditPerMille.Add(depositPerMille) > maxCreditPerMille {
		b.creditPerMille.Store(maxCreditPerMille)
	}
}

// withdraw reports whether there is credit for one retry, and deducts it if so.
func (b *retryBudget) withdraw() bool {
	if b.creditPerMille.Add(-1000) >= 0 {
		return true
	}
	b.creditPerMille.Add(1000)
	return false
}
