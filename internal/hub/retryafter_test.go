package hub_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
)

func TestRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3":                             3 * time.Second,
		" 0.25 ":                        250 * time.Millisecond,
		"0":                             0,
		"-2":                            0,
		"":                              0,
		"soon":                          0,
		"NaN":                           0,
		"Inf":                           0,
		"1e300":                         hub.MaxRetryAfter,
		"99999999999999999999":          hub.MaxRetryAfter,
		"Fri, 04 Dec 2026 21:00:00 GMT": 0,
	} {
		assert.Equal(t, hub.RetryAfter(http.Header{"Retry-After": {value}}), want, value)
	}
}
