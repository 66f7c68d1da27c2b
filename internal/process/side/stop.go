package side

import (
	"context"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
)

const (
	// leaveNotice is the time for which a leaving process tells so before it stops to accept work.
	leaveNotice = 500 * time.Millisecond
	// streamPoll is the time between two looks whether all answers have been sent.
	streamPoll = 20 * time.Millisecond
)

// Stop leaves: it tells the others, lets the requests in progress finish and ends.
func (p *Side) Stop(ctx context.Context) {
	p.leaving.Store(true)
	p.presence.Publish()
	p.tell(ctx)
	_ = hub.Sleep(ctx, leaveNotice)
	p.guard.Block(guard.ReasonLeaving)
	select {
	case <-ctx.Done():
	case <-p.guard.Idle():
	}
	for p.attempts.Streams() > 0 && ctx.Err() == nil {
		_ = hub.Sleep(ctx, streamPoll)
	}
	p.Kill()
}

// tell gives the newest record to the known entry processes at once.
func (p *Side) tell(ctx context.Context) {
	for _, address := range slices.Compact(append(p.manifestPeers(), p.settings.Peers...)) {
		_ = p.exchange.Exchange(ctx, address, address)
	}
}

// Kill ends at once, as a crash would.
func (p *Side) Kill() {
	p.cancel()
	p.server.Close()
	_ = p.content.Close()
	p.admin.Close(context.Background())
	_ = p.link.Close()
	p.running.Wait()
}
