package pace

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxPieceBytes is the largest piece of a chunk that is sent at once.
	MaxPieceBytes = 64 << 10
	minPieceBytes = 4 << 10
	// pieceTime is the time that one piece takes of the link: the longest that a live request waits behind it.
	pieceTime = 2 * time.Millisecond
	// weightsPart is the part of the link that weights may take, so that no queue builds up on it.
	weightsPart = 0.97
)

// Pacer shares one direction of a link between live requests and weights.
// Live requests take what they need at once; weights wait until both fit below the rate.
type Pacer struct {
	limiter *rate.Limiter
	piece   int
}

// New returns a pacer for a link of bytesPerSecond, or one without limit for 0.
func New(bytesPerSecond int64) *Pacer {
	if bytesPerSecond == 0 {
		return &Pacer{limiter: rate.NewLimiter(rate.Inf, MaxPieceBytes), piece: MaxPieceBytes}
	}
	piece := int(float64(bytesPerSecond) * pieceTime.Seconds())
	piece = min(MaxPieceBytes, max(minPieceBytes, piece))
	// A burst of two pieces makes up for timers that fire late.
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(weightsPart*float64(bytesPerSecond)), 2*piece), piece: piece}
}

// PieceBytes returns the length of one paced piece.
func (p *Pacer) PieceBytes() int { return p.piece }

// Wait returns once n bytes of weights may pass.
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

// Live records n bytes of live requests, which never wait.
func (p *Pacer) Live(n int) {
	for n > 0 {
		part := min(n, p.limiter.Burst())
		p.limiter.ReserveN(time.Now(), part)
		n -= part
	}
}
