package duration

import (
	"sync/atomic"
	"time"
)

const (
	// probeInterval is the number of requests with too little time of which one is sent nevertheless.
	probeInterval = 16
	// sendsPerSuccess is the number of further requests with too little time that are sent after one that was completed.
	// As Least is the first quartile, sending them pays off if at least a quarter of them is completed: with 4 for each
	// completed one, they go on being sent exactly in this case.
	sendsPerSuccess = 4
	// maxSends limits the requests that are sent because of earlier ones.
	maxSends = 16
)

// Decision tells whether a request may be sent.
type Decision int

const (
	// Enough means that enough time remains, or that the time needed is unknown.
	Enough Decision = iota
	// Probe means that too little time remains and that the request is sent to find out whether it is completed.
	Probe
	// TooShort means that too little time remains.
	TooShort
)

// probes chooses the requests that are sent although too little time remains. Without them, callers that wait for a shorter
// time than most would always be refused, also when their responses are shorter than those of others, and the estimate
// would not follow when responses get faster.
type probes struct {
	// asked is the number of requests with too little time, sends the number of those that may still be sent because of earlier
	// ones.
	asked atomic.Uint64
	sends atomic.Int64
}

// next reports whether the next request is sent. The first one is.
func (p *probes) next() bool {
	if (p.asked.Add(1)-1)%probeInterval == 0 {
		return true
	}
	for n := p.sends.Load(); n > 0; n = p.sends.Load() {
		if p.sends.CompareAndSwap(n, n-1) {
			return true
		}
	}
	return false
}

// add allows n further requests with too little time to be sent.
func (p *probes) add(n int64) {
	for {
		old := p.sends.Load()
		if p.sends.CompareAndSwap(old, min(old+n, maxSends)) {
			return
		}
	}
}

// Decide tells whether a request with the given remaining time may be sent. With less time than Least, every sixteenth is a
// Probe, and more are if probes are completed.
func (e *Estimates) Decide(service, route string, remaining time.Duration) Decision {
	known := (*e.routes.Load())[key{service, route}]
	if known == nil {
		return Enough
	}
	least, ok := known.current(e.now())
	switch {
	case !ok || remaining >= least:
		return Enough
	case known.probes.next():
		return Probe
	default:
		return TooShort
	}
}

// ProbeCompleted records that a request that was a Probe has been completed. Completed must be called too.
func (e *Estimates) ProbeCompleted(service, route string) {
	if known := (*e.routes.Load())[key{service, route}]; known != nil {
		known.probes.add(sendsPerSuccess)
	}
}

// ProbeNotSent records that a request that was a Probe has not been sent, so that another one may be sent in its place.
func (e *Estimates) ProbeNotSent(service, route string) {
	if known := (*e.routes.Load())[key{service, route}]; known != nil {
		known.probes.add(1)
	}
}
