package transfer

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// followWait is the longest time for which a neighbour is asked to wait for an arrival.
	followWait = 500 * time.Millisecond
)

// errMixedSenders reports a corrupt chunk whose parts came from two senders.
var errMixedSenders = errors.New("corrupt chunk from two senders")

// peer is the fetching from one neighbour, over one connection that carries one call at a time:
// a chunk while there is one to fetch, else the question what has arrived. The answer to that question
// also comes with the last piece of each chunk.
type peer struct {
	session *session
	id      string
	address string
	conn    drpc.Conn
	told    uint32
}

// run fetches from the neighbour until it breaks off, must be left alone, or ctx ends. The session follows
// a neighbour that broke off anew, at the address that it then has.
func (p *peer) run(ctx context.Context) {
	defer p.disconnect()
	for ctx.Err() == nil {
		err := p.step(ctx)
		if err == nil {
			continue
		}
		if errors.Is(err, errStalled) || errors.Is(err, hub.ErrCorrupt) {
			p.session.fetcher.options.Log.Warn().Str("Peer", p.id).Str("Version", p.session.pin.Version).Err(err).Msg("neighbour set aside")
			p.session.putAside(p.id)
			return
		}
		if ctx.Err() == nil && !p.superseded(err) {
			p.session.fetcher.options.Log.Debug().Str("Peer", p.id).Err(err).Msg("neighbour broke off")
			return
		}
		p.disconnect()
	}
}

// superseded reports whether a fetch ended because another one brought the chunk.
func (p *peer) superseded(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, errMixedSenders)
}

// step fetches one chunk, or asks what has arrived where there is none to fetch.
func (p *peer) step(ctx context.Context) error {
	if err := p.connect(ctx); err != nil {
		return err
	}
	s := p.session
	slots := s.slotsEach()
	if err := s.slots.Acquire(ctx, slots); err != nil {
		return err
	}
	index, ok := s.plan.Next(p.id, time.Now())
	if !ok {
		s.slots.Release(slots)
		return p.follow(ctx)
	}
	defer s.slots.Release(slots)
	return p.fetch(ctx, index)
}

func (p *peer) connect(ctx context.Context) error {
	if p.conn != nil {
		return nil
	}
	conn, err := p.session.fetcher.options.Link.Fresh(ctx, p.address)
	if err != nil {
		return err
	}
	p.conn = conn
	return nil
}

func (p *peer) disconnect() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// follow asks what has arrived at the neighbour.
func (p *peer) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, followWait+p.session.fetcher.options.Stall, errStalled)
	defer cancel()
	request := &message.FollowRequest{Root: p.session.pin.Root, Told: p.told, WaitMs: uint32(followWait.Milliseconds())}
	holding, err := message.NewDRPCWeightsClient(p.conn).Follow(ctx, request)
	if err != nil {
		return transferError(ctx, err)
	}
	p.take(holding)
	return nil
}

func (p *peer) take(holding *message.Holding) {
	if holding == nil {
		return
	}
	p.told = holding.GetTold()
	indexes := make([]int, len(holding.GetIndexes()))
	for i, index := range holding.GetIndexes() {
		indexes[i] = int(index)
	}
	p.session.plan.NeighbourHolds(p.id, indexes)
}

// fetch brings one chunk from the neighbour.
func (p *peer) fetch(ctx context.Context, index int) error {
	s := p.session
	chunkCtx, cancel, part := s.begin(ctx, index)
	defer cancel()
	resumed := part.filled > 0
	request := &message.FetchRequest{Root: s.pin.Root, Index: uint32(index), Offset: uint32(part.filled), Told: p.told}
	filled, holding, err := fetchChunk(chunkCtx, s.fetcher.options.Stall, p.conn, s.fetcher.options.Pacer, request, part.buf)
	if err == nil {
		p.take(holding)
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
