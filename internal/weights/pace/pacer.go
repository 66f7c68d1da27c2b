package pace

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxPieceBytes is the maximum size in bytes of a piece, the part of a chunk that is sent in one message.
	MaxPieceBytes = 64 << 10
	minPieceBytes = 4 << 10
	// pieceDuration is the intended transmission time of one piece, and so the longest time for which a live request is
	// delayed by a piece ahead of it. The size limits take precedence.
	pieceDuration = 2 * time.Millisecond
	// maxWeightShare is the fraction of the link's bandwidth above which weight transfers wait, with live requests
	// counted, so that no queue builds up on the link.
	maxWeightShare = 0.97
)

// Pacer is a rate limiter for one direction of a network link. Live requests are only counted and never delayed;
// weight transfers wait until both together stay below the rate. It is safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter
	piece   int
}

// New returns a pacer for a link with a bandwidth of bytesPerSecond, or one without a limit if it is 0.
func New(bytesPerSecond int64) *Pacer {
	if bytesPerSecond == 0 {
		return &Pacer{limiter: rate.NewLimiter(rate.Inf, MaxPieceBytes), piece: MaxPieceBytes}
	}
	piece := int(float64(bytesPerSecond) * pieceDuration.Seconds())
	piece = min(MaxPieceBytes, max(minPieceBytes, piece))
	// A burst of two pieces compensates for timers that fire late.
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(maxWeightShare*float64(bytesPerSecond)), 2*piece), piece: piece}
}

// SetRate changes the bandwidth that the pacer assumes, unless it is without a limit or bytesPerSecond is 0.
func (p *Pacer) SetRate(bytesPerSecond int64) {
	if p.limiter.Limit() == rate.Inf || bytesPerSecond == 0 {
		return
	}
	if limit := rate.Limit(maxWeightShare * float64(bytesPerSecond)); limit != p.limiter.Limit() {
		p.limiter.SetLimit(limit)
	}
}

// PieceBytes returns the size in bytes of the pieces into which a chunk is split for sending.
func (p *Pacer) PieceBytes() int { return p.piece }

// Wait blocks until n bytes of weights may be transferred. It returns an error if ctx is done or its deadline would
// pass before that.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	for n > 0 {
		part := min(n, p.limiter.Burst())
		if err := p.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// AddLive counts n bytes of live requests against the rate without waiting.
func (p *Pacer) AddLive(n int) {
	for n > 0 {
		part := min(n, p.limiter.Burst())
		p.limiter.ReserveN(time.Now(), part)
		n -= part
	}
}
