package pace

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// PieceBytes is the length of one paced piece of a chunk.
const PieceBytes = 32 << 10

// burstTime is the time of full rate that may be sent at once.
const burstTime = 20 * time.Millisecond

// Pacer shares one direction of a link between live requests and weights.
// Live requests take what they need at once; weights wait until both fit below the rate.
type Pacer struct {
	limiter *rate.Limiter
}

// New returns a pacer for a link of bytesPerSecond, or one without limit for 0.
func New(bytesPerSecond int64) *Pacer {
	if bytesPerSecond == 0 {
		return &Pacer{limiter: rate.NewLimiter(rate.Inf, PieceBytes)}
	}
	burst := int(float64(bytesPerSecond) * burstTime.Seconds())
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), max(PieceBytes, burst))}
}

// Wait returns once n bytes of weights may be sent, n at most PieceBytes.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	return p.limiter.WaitN(ctx, n)
}

// Live records n bytes of live requests, which never wait.
func (p *Pacer) Live(n int) {
	for n > 0 {
		part := min(n, PieceBytes)
		p.limiter.ReserveN(time.Now(), part)
		n -= part
	}
}
