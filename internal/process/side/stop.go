package side

import (
	"context"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
)

const (
	// leaveNoticeDelay is the time between the announcement that the process is leaving and the rejection of requests.
	leaveNoticeDelay = 500 * time.Millisecond
	// streamPollInterval is the interval at which a stopping process checks whether all responses have been sent.
	streamPollInterval = 20 * time.Millisecond
)

// Stop announces that the process is leaving, rejects new requests after leaveNoticeDelay, however long the announcement takes, waits
// until those in progress have finished or ctx is done, and ends the process.
func (p *Side) Stop(ctx context.Context) {
	p.leaving.Store(true)
	p.presence.Publish()
	announcing, cancel := context.WithCancel(ctx)
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

// announce begins to exchange state with all known entry processes at once, so that they receive the member record even if some of
// them do not answer.
func (p *Side) announce(ctx context.Context) {
	addresses := slices.Concat(p.manifestPeers(), p.settings.Peers)
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		go func() { _ = p.exchange.Exchange(ctx, address, address) }()
	}
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
