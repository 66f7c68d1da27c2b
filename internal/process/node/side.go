package node

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
	"github.com/oriolehub/oriolehub/internal/state/delegate"
	"github.com/oriolehub/oriolehub/internal/upstream/stager"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
)

const (
	// weightsMemoryFraction is the fraction of the configured memory that weights may occupy.
	weightsMemoryFraction = 0.3
	// defaultWeightsMemory is the memory for weights in bytes if no memory limit is configured.
	defaultWeightsMemory = 1 << 30
	// weightsLinkFraction is the fraction of the VM's bandwidth that weights may use in each direction; the rest is
	// reserved for responses to callers.
	weightsLinkFraction = 0.85
	// idleWeightsLinkFraction is that fraction while the engine holds no weights and so sends no responses. The rest is
	// reserved for reports.
	idleWeightsLinkFraction = 1 - reportLinkFraction
	// reportLinkFraction is the fraction of the VM's bandwidth that reports to the entry processes may use.
	reportLinkFraction = 0.05
	// receiversTTL is the time for which the list of report receivers is cached.
	receiversTTL = 250 * time.Millisecond
	// storeFallbackInterval is the interval at which a side process without a configuration reads the store itself.
	storeFallbackInterval = 2500 * time.Millisecond
)

// Side is a running side process.
type Side struct {
	*node
	stager      *stager.Stager
	sender      *beacon.Sender
	chunkServer *transfer.Server
	// incoming and outgoing limit the rates of weights in each direction.
	incoming, outgoing *pace.Pacer

	cachedReceivers   []netip.AddrPort
	receiversCachedAt time.Time
}

// StartSide starts a side process, which runs until Stop.
func StartSide(s settings.Node, j *journal.Journal, p Platform) (*Side, error) {
	e := &Side{}
	e.node = newNode(s, hub.RoleSide, j, p, func() hub.Member { return e.record() })
	cache := replica.NewCache(weightsMemory(&s), nil)
	bytesPerSecond := weightsRate(&s, true)
	e.incoming, e.outgoing = pace.New(bytesPerSecond), pace.New(bytesPerSecond)
	e.stager = stager.New(stager.Options{
		Self:      s.ControlListen,
		Region:    s.Region,
		Service:   s.Service,
		Engine:    p.Engine(s.Upstream, e.dial),
		Directory: e.directory,
		Catalog:   e.catalog,
		Link:      e.link,
		Cache:     cache,
		Pacer:     e.incoming,
		NewSource: func(o *hub.Origin, m *hub.EngineModel) hub.WeightSource { return p.Source(o, m, e.dial) },

		SwitchBound: e.switchBound,
		OnReport:    func(r hub.UpstreamReport) { e.adaptWeightsRate(r); e.sendReport(r) },
		Log:         j.Logger(journal.Placement),
	})
	e.chunkServer = transfer.NewServer(cache, e.outgoing)
	if err := e.listen(e.chunkServer, e.record, func() error { return nil }); err != nil {
		return nil, err
	}
	e.metrics.NewGauge("oriolehub_chunk_bytes_sent_total", func() float64 { return float64(e.ChunkBytesSent()) })
	e.metrics.NewGauge("oriolehub_engine_version_overdue_seconds", func() float64 { return e.stager.Overdue().Seconds() })
	upstream, err := netip.ParseAddrPort(s.Upstream)
	if err != nil {
		return nil, fmt.Errorf("parse address of the upstream: %w", err)
	}
	e.sender = beacon.NewSender(e.reports, upstream, e.incarnation, reportLinkFraction*s.LinkMegabits*1e6/8)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.run(ctx)
	e.running.Go(func() { e.stager.Run(ctx) })
	e.running.Go(func() { e.readStoreFallback(ctx) })
	e.running.Go(func() {
		beacon.Receive(ctx, e.reports, j.Logger(journal.State), beacon.Handler{Notice: e.quarantine.Merge})
	})
	return e, nil
}

// ChunkBytesSent returns the number of bytes of chunks that were sent to other side processes.
func (e *Side) ChunkBytesSent() int64 { return e.chunkServer.BytesSent() }

// Progress returns how many chunks of a version are in memory and their total; both are 0 if the version is unknown.
func (e *Side) Progress(version uint64) (held, total int) { return e.stager.Progress(version) }

// weightsMemory returns the memory limit for weights in bytes.
func weightsMemory(s *settings.Node) int64 {
	if s.MemoryMegabytes == 0 {
		return defaultWeightsMemory
	}
	return int64(weightsMemoryFraction * float64(s.MemoryMegabytes) * (1 << 20))
}

// weightsRate returns the rate of weights in bytes per second in each direction; serving tells whether the engine holds
// weights and may therefore send responses. It is 0 if the bandwidth is not configured.
func weightsRate(s *settings.Node, serving bool) int64 {
	fraction := idleWeightsLinkFraction
	if serving {
		fraction = weightsLinkFraction
	}
	return int64(fraction * s.LinkMegabits * 1e6 / 8)
}

// adaptWeightsRate sets the rate of weights by whether the engine holds weights.
func (e *Side) adaptWeightsRate(r hub.UpstreamReport) {
	rate := weightsRate(&e.settings, r.Held != 0)
	e.incoming.SetRate(rate)
	e.outgoing.SetRate(rate)
}

// sendReport sends the state and load of the engine to the entry processes that collect reports.
func (e *Side) sendReport(r hub.UpstreamReport) {
	if err := e.sender.Send(r, e.receivers); err != nil {
		e.journal.Logger(journal.State).Debug().Err(err).Msg("cannot send the upstream report to all entry processes; trying again with the next report")
	}
}

// receivers returns the UDP addresses of the entry processes that collect reports, which are cached for receiversTTL. It
// is not safe for concurrent use; only the stager's goroutine calls it.
func (e *Side) receivers() []netip.AddrPort {
	if time.Since(e.receiversCachedAt) >= receiversTTL {
		e.cachedReceivers, e.receiversCachedAt = e.reportAddressesOf(e.delegates.Everywhere(delegate.CollectReports)), time.Now()
	}
	return e.cachedReceivers
}

// record returns the current member record of this process.
func (e *Side) record() hub.Member {
	m := e.member(hub.StateStarting)
	if version, ok := e.stager.Serving(); ok && version != 0 {
		m.State = hub.StateServing
		m.ServingVersion = strconv.FormatUint(version, 10)
	}
	if e.leaving.Load() {
		m.State = hub.StateLeaving
	}
	return m
}

// readStoreFallback reads the store while no peer has provided the configuration and the list of upstreams. It runs
// until ctx is done.
func (e *Side) readStoreFallback(ctx context.Context) {
	for hub.Sleep(ctx, storeFallbackInterval) == nil {
		if e.directory.Current().Ready() {
			continue
		}
		if err := e.mirror.ReadOnce(ctx); err != nil {
			e.journal.Logger(journal.State).Warn().Err(err).Msg("no configuration received from peers and cannot read the store; retrying")
		}
	}
}

// Stop announces that the process is leaving and ends it.
func (e *Side) Stop(ctx context.Context) {
	e.announceLeaving(ctx)
	e.shutdown(ctx)
}
