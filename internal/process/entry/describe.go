package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// describeTimeout is the time limit of the call to one process.
	describeTimeout = time.Second
	// maxConcurrentDescribes is the maximum number of concurrent calls.
	maxConcurrentDescribes = 64
)

// describeAll requests the current member records of all known processes. For a process that does not respond it
// returns the last replicated record, marked as suspected.
func (p *Entry) describeAll(ctx context.Context) []*message.Member {
	known := p.catalog.Members()
	out := make([]*message.Member, len(known))
	slots := semaphore.NewWeighted(maxConcurrentDescribes)
	var running sync.WaitGroup
	for i := range known {
		if slots.Acquire(ctx, 1) != nil {
			out[i] = unreachable(known[i].Member)
			continue
		}
		running.Go(func() {
			defer slots.Release(1)
			out[i] = p.describe(ctx, known[i].Member)
		})
	}
	running.Wait()
	return out
}

// describe returns the current record of one process, or m marked as suspected if the process does not respond.
func (p *Entry) describe(ctx context.Context, m hub.Member) *message.Member {
	if m.Id == p.settings.Id {
		self := p.Member()
		return exchange.ToMember(&self)
	}
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	conn := p.link.Pooled(ctx, m.Address)
	defer conn.Close()
	reply, err := message.NewDRPCPeerClient(conn).Describe(ctx, &message.DescribeRequest{})
	if err != nil {
		return unreachable(m)
	}
	return reply
}

// unreachable returns m marked as suspected.
func unreachable(m hub.Member) *message.Member {
	m.Suspected = true
	m.Note = "does not answer"
	return exchange.ToMember(&m)
}
