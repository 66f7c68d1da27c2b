package session

import (
	"context"
	"fmt"

	"github.com/oriolehub/oriolehub/internal/soak/excess"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
)

// exceeding are the kinds of callers outside the limits, and the number of their connections. The bodies together are as long
// as the memory of a process in plans with load, so that an entry process that holds all of them exceeds it. Pipelined requests
// run at upstreams, so that more connections with them would be an overload.
var exceeding = map[plan.Kind]struct {
	client      excess.Client
	connections int
}{
	plan.ShortBodies:     {excess.ShortBody, 96},
	plan.EndlessHeaders:  {excess.EndlessHeader, 16},
	plan.UnreadResponses: {excess.UnreadResponses, 4},
}

// exceed keeps connections outside the limits to an entry process for a time. It disturbs nothing: other callers must be
// served meanwhile.
func (s *session) exceed(ctx context.Context, f plan.Fault) {
	ended := s.record.Change(record.Change{Kind: record.OutsideLimits, Subject: f.Target})
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, f.For)
	defer cancel()
	kind := exceeding[f.Kind]
	name := fmt.Sprintf("%s-%s-%d", f.Kind, f.Target, s.exceeds.Add(1))
	excess.Run(ctx, s.cluster.ListenerAddress(f.Target), name, kind.connections, kind.client, s.totals(f.Kind))
}

// totals returns the totals of a kind, which all its faults share.
func (s *session) totals(kind plan.Kind) *excess.Totals {
	totals, _ := s.excess.LoadOrStore(kind, &excess.Totals{})
	return totals.(*excess.Totals)
}

// excessByKind returns the totals of all kinds that were applied.
func (s *session) excessByKind() map[plan.Kind]*excess.Totals {
	out := map[plan.Kind]*excess.Totals{}
	s.excess.Range(func(kind, totals any) bool {
		out[kind.(plan.Kind)] = totals.(*excess.Totals)
		return true
	})
	return out
}
