package hub

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is the rate of requests that an upstream accepts from all entry processes together.
type RateLimit struct {
	// Named is false if the upstream names no limit.
	Named bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// ParseRateLimit returns the limit in the value of a header, which names none if it is not a rate in requests per second.
func ParseRateLimit(value string) RateLimit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return RateLimit{}
	}
	return RateLimit{Named: true, PerSecond: perSecond}
}
