package side

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
)

const (
	// announceTimeout is the time limit for the announcement that the process is leaving.
	announceTimeout = 500 * time.Millisecond
	// leaveNoticeDelay is the time between the announcement that the process is leaving and the rejection of requests.
	leaveNoticeDelay = 500 * time.Millisecond
	// streamPollInterval is the interval at which a stopping process checks whether all responses have been sent.
	streamPollInterval = 20 * time.Millisecond
)

// Stop announces that the process is leaving, rejects new requests after leaveNoticeDelay, waits
// until those in progress have finished or ctx is done, and ends the process.
func (p *Side) Stop(ctx context.Context) {
	p.leaving.Store(true)
	p.presence.Publish()
	announcing, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	p.announce(announcing)
	_ = hub.Sleep(ctx, leaveNoticeDelay)
	p.guard.Block(guard.ReasonLeaving)
	select {
	case <-ctx.Done():
	case <-p.guard.Idle():
	}
	for p.attempts.Streams() > 0 && ctx.Err() == nil {
		_ = hub.Sleep(ctx, streamPollInterval)
	}
	p.Kill()
}

// announce exchanges state with all known entry processes at once, so that they receive the member record even if some of them do not
// answer. It waits for all exchanges.
func (p *Side) announce(ctx context.Context) {
	addresses := slices.Concat(p.manifestPeers(), p.settings.Peers)
	slices.Sort(addresses)
	var exchanges sync.WaitGroup
	for _, address := range slices.Compact(addresses) {
		exchanges.Go(func() { _ = p.exchange.Exchange(ctx, address, address) })
	}
	exchanges.Wait()
}

// Kill ends the process at once and interrupts the requests in progress, as a crash does.
func (p *Side) Kill() {
	p.cancel()
	p.server.Close()
	_ = p.content.Close()
	p.admin.Close(context.Background())
	_ = p.link.Close()
	p.running.Wait()
}
