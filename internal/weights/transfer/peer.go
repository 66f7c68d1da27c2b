package transfer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// idleLook is the longest time between two looks for something to fetch.
	idleLook = 250 * time.Millisecond
	// followTimeout is the longest time between two messages of a Follow stream.
	followTimeout = 4 * time.Second
	// reconnectPause is the pause before a neighbour that broke off is tried again.
	reconnectPause = 300 * time.Millisecond
)

// peer is the fetching from one neighbour.
type peer struct {
	session *session
	id      string
	address string
}

// run follows the neighbour and fetches from it until it breaks off or ctx ends.
func (p *peer) run(ctx context.Context, wake <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for range fetchesPerPeer {
		running.Go(func() { p.fetchLoop(ctx, wake, cancel) })
	}
	err := p.follow(ctx)
	if ctx.Err() == nil {
		p.session.fetcher.options.Log.Debug().Str("Peer", p.id).Err(err).Msg("neighbour broke off")
		_ = pauseJittered(ctx, reconnectPause)
	}
}

// follow records what the neighbour holds as it tells.
func (p *peer) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := p.session.fetcher.options.Link.Fresh(ctx, p.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	watchdog := time.AfterFunc(followTimeout+openWait, func() { cancel(errStalled) })
	defer watchdog.Stop()
	stream, err := message.NewDRPCWeightsClient(conn).Follow(ctx, &message.FollowRequest{Root: p.session.pin.Root})
	if err != nil {
		return transferError(ctx, err)
	}
	defer stream.Close()
	for {
		holding, err := stream.Recv()
		if err != nil {
			return transferError(ctx, err)
		}
		watchdog.Reset(followTimeout)
		p.session.plan.NeighbourHolds(p.id, toIndexes(holding.GetIndexes()))
	}
}

func toIndexes(in []uint32) []int {
	out := make([]int, len(in))
	for i, index := range in {
		out[i] = int(index)
	}
	return out
}

// fetchLoop fetches one chunk after the other from the neighbour.
func (p *peer) fetchLoop(ctx context.Context, wake <-chan struct{}, stop context.CancelFunc) {
	s := p.session
	for ctx.Err() == nil {
		if err := s.slots.Acquire(ctx, 1); err != nil {
			return
		}
		index, ok := s.plan.Next(p.id, time.Now())
		if !ok {
			s.slots.Release(1)
			p.idle(ctx, wake)
			continue
		}
		err := p.fetch(ctx, index)
		s.slots.Release(1)
		if p.mustStop(err) {
			s.putAside(p.id)
			stop()
			return
		}
		if err != nil {
			p.idle(ctx, wake)
		}
	}
}

// mustStop reports whether an error means that the neighbour is to be left alone for a while.
func (p *peer) mustStop(err error) bool {
	if errors.Is(err, errStalled) || errors.Is(err, hub.ErrCorrupt) {
		p.session.fetcher.options.Log.Warn().Str("Peer", p.id).Str("Version", p.session.pin.Version).Err(err).Msg("neighbour set aside")
		return true
	}
	return false
}

func (p *peer) idle(ctx context.Context, wake <-chan struct{}) {
	timer := time.NewTimer(idleLook)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// fetch brings one chunk from the neighbour.
func (p *peer) fetch(ctx context.Context, index int) error {
	s := p.session
	chunkCtx, cancel, part := s.begin(ctx, index)
	defer cancel()
	resumed := part.filled > 0
	conn := s.fetcher.options.Link.Pooled(chunkCtx, p.address)
	request := &message.FetchRequest{
		Root:   s.pin.Root,
		Index:  uint32(index),
		Offset: uint32(part.filled),
		Sender: s.fetcher.options.Self,
	}
	filled, err := fetchChunk(chunkCtx, conn, s.fetcher.options.Pacer, request, part.buf)
	_ = conn.Close()
	if err == nil {
		err = s.finish(index, part.buf)
		if errors.Is(err, hub.ErrCorrupt) && resumed {
			// Two senders made this chunk and either may be at fault.
			err = errMixedSenders
		}
	} else if filled > 0 && !s.plan.IsHeld(index) {
		s.leave(index, partialChunk{buf: part.buf, filled: filled})
	}
	if err != nil {
		s.plan.Failed(index, false)
	}
	return err
}

// errMixedSenders reports a corrupt chunk whose parts came from two senders.
var errMixedSenders = errors.New("corrupt chunk from two senders")
