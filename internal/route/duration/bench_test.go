package duration_test

import (
	"testing"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/duration"
)

// BenchmarkRequest measures what a request costs: one decision and one completed response, all of one route.
func BenchmarkRequest(b *testing.B) {
	e := duration.New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = e.Decide("s", "r", time.Second)
			e.Completed("s", "r", time.Second)
		}
	})
}
