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
	// describeTimeout bounds the question to one process.
	describeTimeout = time.Second
	// describeAtOnce bounds the processes that are asked at the same time.
	describeAtOnce = 64
)

// describeAll asks every known process for its record as it is now; of one that does not answer, the
// record that spread last is returned, marked as suspected.
func (p *Entry) describeAll(ctx context.Context) []*message.Member {
	known := p.catalog.Members()
	out := make([]*message.Member, len(known))
	slots := semaphore.NewWeighted(describeAtOnce)
	var running sync.WaitGroup
	for i := range known {
		if slots.Acquire(ctx, 1) != nil {
			out[i] = unanswered(known[i].Member)
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
		return unanswered(m)
	}
	return reply
}

func unanswered(m hub.Member) *message.Member {
	m.Suspected = true
	m.Note = "does not answer"
	return exchange.ToMember(&m)
}
