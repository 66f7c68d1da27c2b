package duration

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxRoutes limits the pairs of service and route that are remembered. The largest deployment has 252 routes.
const maxRoutes = 1024

// Estimates are the times that the responses of each service and route take, from sending the request to the end of the
// response. It is safe for concurrent use.
type Estimates struct {
	// created is the origin of the times in nanoseconds below, with a reading of the monotonic clock.
	created time.Time
	// routes is replaced when a route is added, so that requests need no lock to read it.
	routes atomic.Pointer[map[key]*estimate]

	// mu is held while routes is replaced.
	mu sync.Mutex
}

// key identifies an estimate.
type key struct{ service, route string }

// New returns estimates without any responses.
func New() *Estimates {
	e := &Estimates{created: time.Now()}
	e.routes.Store(&map[key]*estimate{})
	return e
}

// Completed records that a complete response took d.
func (e *Estimates) Completed(service, route string, d time.Duration) {
	k := key{service, route}
	known := (*e.routes.Load())[k]
	if known == nil {
		known = e.remember(k)
	}
	known.add(d, e.now())
}

// Least returns the first quartile of the times. It returns false until minResponses responses are known and after
// expiry without any.
func (e *Estimates) Least(service, route string) (time.Duration, bool) {
	known := (*e.routes.Load())[key{service, route}]
	if known == nil {
		return 0, false
	}
	return known.current(e.now())
}

// Most returns the time that one response in twenty exceeds, or false as Least does. It takes a lock, unlike Least.
func (e *Estimates) Most(service, route string) (time.Duration, bool) {
	known := (*e.routes.Load())[key{service, route}]
	if known == nil {
		return 0, false
	}
	return known.most(e.now())
}

// now returns the time since e was created.
func (e *Estimates) now() time.Duration { return time.Since(e.created) }

// remember returns the estimate of k, which it adds if it is new. Estimates that have expired are dropped.
func (e *Estimates) remember(k key) *estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := *e.routes.Load()
	if known := old[k]; known != nil {
		return known
	}
	now := e.now()
	routes := make(map[key]*estimate, len(old)+1)
	for other, known := range old {
		if !known.expired(now) {
			routes[other] = known
		}
	}
	if len(routes) >= maxRoutes {
		delete(routes, leastRecent(routes))
	}
	added := newEstimate(now)
	routes[k] = added
	e.routes.Store(&routes)
	return added
}

// leastRecent returns the key of the estimate whose last response is the oldest.
func leastRecent(routes map[key]*estimate) key {
	var oldest key
	at := time.Duration(-1)
	for k, known := range routes {
		if last := time.Duration(known.lastAt.Load()); at < 0 || last < at {
			oldest, at = k, last
		}
	}
	return oldest
}
