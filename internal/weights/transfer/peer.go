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
	// followWait is the time for which a Follow call waits at the neighbour for new chunks.
	followWait = 500 * time.Millisecond
)

// errMixedSenders means that a chunk whose parts came from several senders does not match its digest.
var errMixedSenders = errors.New("digest mismatch in a chunk from several senders")

// peer fetches chunks from one neighbour over a connection that carries one call at a time: Fetch if the plan has a
// chunk to fetch from the neighbour, otherwise Follow to learn which chunks have arrived there. The last piece of each
// chunk carries the same information.
type peer struct {
	session *session
	id      string
	address string
	// conn is nil while disconnected.
	conn drpc.Conn
	// reported is the number of arrivals that the neighbour has already reported.
	reported uint32
}

// run fetches from the neighbour until a call fails other than by being superseded, or ctx is done. If the call stalled
// or returned corrupt data, run suspends the neighbour. The session then starts a new peer with the neighbour's current
// address.
func (p *peer) run(ctx context.Context) {
	defer p.disconnect()
	for ctx.Err() == nil {
		err := p.step(ctx)
		if err == nil {
			continue
		}
		if errors.Is(err, errStalled) || errors.Is(err, hub.ErrCorrupt) {
			p.session.fetcher.options.Log.Warn().Str("Peer", p.id).Str("Version", p.session.pin.Version).Err(err).Msg("neighbour stalled or sent corrupt data; not fetching from it for a while")
			p.session.suspend(p.id)
			return
		}
		if ctx.Err() == nil && !p.superseded(err) {
			p.session.fetcher.options.Log.Debug().Str("Peer", p.id).Err(err).Msg("fetch from neighbour failed; reconnecting later")
			return
		}
		p.disconnect()
	}
}

// superseded reports whether a failed fetch does not indicate a fault of the neighbour: it was cancelled because
// another fetch completed the chunk, or the chunk came from several senders.
func (p *peer) superseded(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, errMixedSenders)
}

// step fetches one chunk, or waits for arrivals at the neighbour if there is no chunk to fetch.
func (p *peer) step(ctx context.Context) error {
	if err := p.connect(ctx); err != nil {
		return err
	}
	s := p.session
	slots := s.slotsPerFetch()
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

// connect opens a connection unless there is one.
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

// follow waits until new chunks have arrived at the neighbour or followWait has passed, and adds them to the plan.
func (p *peer) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, followWait+p.session.fetcher.options.StallTimeout, errStalled)
	defer cancel()
	request := &message.FollowRequest{Root: p.session.pin.Root, Told: p.reported, WaitMs: uint32(followWait.Milliseconds())}
	holding, err := message.NewDRPCWeightsClient(p.conn).Follow(ctx, request)
	if err != nil {
		return transferError(ctx, err)
	}
	p.addHolding(holding)
	return nil
}

// addHolding adds the chunks that have arrived at the neighbour to the plan.
func (p *peer) addHolding(holding *message.Holding) {
	if holding == nil {
		return
	}
	p.reported = holding.GetTold()
	indexes := make([]int, len(holding.GetIndexes()))
	for i, index := range holding.GetIndexes() {
		indexes[i] = int(index)
	}
	p.session.plan.NeighbourHolds(p.id, indexes)
}

// fetch fetches one chunk from the neighbour and adds it to the replica. If it fails, it keeps the bytes received.
func (p *peer) fetch(ctx context.Context, index int) error {
	s := p.session
	chunkCtx, cancel, part := s.beginFetch(ctx, index)
	defer cancel()
	resumed := part.filled > 0
	request := &message.FetchRequest{Root: s.pin.Root, Index: uint32(index), Offset: uint32(part.filled), Told: p.reported}
	filled, holding, err := fetchChunk(chunkCtx, s.fetcher.options.StallTimeout, p.conn, s.fetcher.options.Pacer, request, part.buf)
	if err == nil {
		p.addHolding(holding)
		err = s.finishFetch(index, part.buf)
		if errors.Is(err, hub.ErrCorrupt) && resumed {
			// Parts of the chunk came from different senders, and any of them may be at fault.
			err = errMixedSenders
		}
	} else if filled > 0 && !s.plan.IsHeld(index) {
		s.keepPartial(index, partialChunk{buf: part.buf, filled: filled})
	}
	if err != nil {
		s.plan.MarkFailed(index, false)
	}
	return err
}
