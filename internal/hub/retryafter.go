package hub

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter is the longest pause that a Retry-After header can ask for; longer ones count as this.
const MaxRetryAfter = time.Hour

// RetryAfter returns the pause that the Retry-After header in h asks for in seconds, with or without a fraction. It
// returns 0 if there is no such header or if its value is not a positive number; dates are not supported, because the
// clocks of VMs may differ by seconds.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second))
}
