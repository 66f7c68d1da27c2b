package concurrency

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkUpdate measures one computation of all references, which happens four times a second at most.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{16, 169, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPeers(Settings{Enabled: true, InitialShare: 0.25}, nil, func() int { return 53 })
			var members []*Limiter
			for i := range n {
				l := p.NewLimiter(fmt.Sprint(i), 12, false)
				l.FirstEvent(time.Duration(i*7919%1000)*time.Millisecond, 0)
				l.Reported(Report{Pace: 1})
				members = append(members, l)
			}
			p.SetMembers(members)
			b.ReportAllocs()
			for b.Loop() {
				p.updateAt.Store(0)
				p.update(time.Now())
			}
		})
	}
}
