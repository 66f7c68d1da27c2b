package forward

import (
	"math/rand/v2"
	"time"
)

// fullPressure is the share of refused requests from which callers are told to return as late as they may.
const fullPressure = 0.3

// busyRetry returns the Retry-After time of a request for which no upstream had room. pressure is the recent share of such
// requests, left the time until the deadline of the request.
//
// It answers two kinds of load. If single requests find no room, a slot becomes free within moments and an early return may
// still meet the objective. If many do, the service gets more requests than it can run: an early return would be refused again,
// and callers return only once. Then they are told to return later, and the returns are spread.
func busyRetry(pressure float64, left time.Duration) time.Duration {
	latest := max(busyRetryAfter, fraction(left, noUpstreamRetryFraction))
	upper := busyRetryAfter + fraction(latest-busyRetryAfter, min(1, pressure/fullPressure))
	return upper/2 + rand.N(upper/2+1)
}
