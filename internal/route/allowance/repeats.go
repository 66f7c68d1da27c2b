package allowance

import (
	"sync"
	"time"
)

const (
	// windowSteps is the number of steps in which a window slides.
	windowSteps = 20
	// safety is the part of the allowed repeats that is used, since processes count at their own times.
	safety = 0.8
)

// Bounds are the repeats that all entry processes together may send to a service.
type Bounds struct {
	// Ratio is the number of repeats for each request of a window.
	Ratio float64
	// Slack is the number of repeats beyond those.
	Slack float64
}

// Repeats counts the requests and the repeats for each service.
type Repeats struct {
	// span is the length of the sliding window.
	span   time.Duration
	bounds func() Bounds
	// entries returns the number of live entry processes.
	entries func() int
	// started is the zero of the steps, read from the monotonic clock.
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window counts in steps; step is the number of the newest.
type window struct {
	step     int64
	requests [windowSteps]int
	repeats  [windowSteps]int
}

// NewRepeats returns a counter; bounds returns what is allowed now, entries the number of live entry processes.
func NewRepeats(span time.Duration, bounds func() Bounds, entries func() int) *Repeats {
	return &Repeats{span: span, bounds: bounds, entries: entries, started: time.Now(), services: map[string]*window{}}
}

// Request counts a caller's request for a service.
func (r *Repeats) Request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.counts(service)
	w.requests[w.step%windowSteps]++
}

// Take counts a repeat to a service if it is allowed, and reports whether it is.
func (r *Repeats) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.counts(service)
	requests, repeats := 0, 0
	for i := range windowSteps {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	b := r.bounds()
	allowed := safety * (b.Ratio*float64(requests) + b.Slack/float64(max(1, r.entries())))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.step%windowSteps]++
	return true
}

// counts returns the counts of a service with the steps that have passed set to zero.
func (r *Repeats) counts(service string) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	now := int64(time.Since(r.started) / (r.span / windowSteps))
	for passed := min(now-w.step, windowSteps); passed > 0; passed-- {
		at := (now - passed + 1) % windowSteps
		w.requests[at], w.repeats[at] = 0, 0
	}
	w.step = max(w.step, now)
	return w
}
