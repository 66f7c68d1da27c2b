package allowance

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps into which the sliding window is divided.
	windowSteps = 20
	// safetyFactor is the fraction of the allowed retries that is used. It leaves a margin because the windows of the
	// processes are not aligned.
	safetyFactor = 0.8
)

// Bounds limits the retries that all entry processes together may send to a service within a window.
type Bounds struct {
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Slack is the number of retries allowed in addition to those.
	Slack float64
}

// RetryBudget is the retry budget of one entry process. It counts the requests and the retries of each service in a
// sliding window.
type RetryBudget struct {
	// windowLength is the length of the sliding window.
	windowLength time.Duration
	bounds       func() Bounds
	// entries returns the number of live entry processes.
	entries func() int
	// started is the start of step 0, with a reading of the monotonic clock.
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window holds the counts of the last windowSteps steps as ring buffers; step is the number of the newest step.
type window struct {
	step     int64
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewRetryBudget returns a retry budget with a window of the given length, at least a nanosecond for each step. bounds returns
// the current limits, entries the number of live entry processes.
func NewRetryBudget(windowLength time.Duration, bounds func() Bounds, entries func() int) *RetryBudget {
	return &RetryBudget{windowLength: max(windowLength, windowSteps), bounds: bounds, entries: entries, started: time.Now(), services: map[string]*window{}}
}

// CountRequest counts a request of a caller to a service.
func (r *RetryBudget) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windowOf(service)
	w.requests[w.step%windowSteps]++
}

// Take reports whether a retry to a service is allowed, and counts it if so.
func (r *RetryBudget) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windowOf(service)
	if !r.allows(w) {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}

// Allows reports whether Take would allow a retry to a service.
func (r *RetryBudget) Allows(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allows(r.windowOf(service))
}

// allows reports whether w has room for one more retry.
func (r *RetryBudget) allows(w *window) bool {
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	b := r.bounds()
	allowed := safetyFactor * (b.Ratio*float64(requests) + b.Slack/float64(max(1, r.entries())))
	return float64(retries+1) <= allowed
}

// windowOf returns the window of a service after it has cleared the steps that have expired.
func (r *RetryBudget) windowOf(service string) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	now := int64(time.Since(r.started) / (r.windowLength / windowSteps))
	for passed := min(now-w.step, windowSteps); passed > 0; passed-- {
		at := (now - passed + 1) % windowSteps
		w.requests[at], w.retries[at] = 0, 0
	}
	w.step = max(w.step, now)
	return w
}
