package node

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/state/beacon"
	"github.com/oriolehub/oriolehub/internal/upstream/stager"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
)

const (
	// shelfPart is the part of the memory limit that weights may take.
	shelfPart = 0.3
	// defaultShelf is that part where no limit is set, in bytes.
	defaultShelf = 1 << 30
	// linkPart is the part of the VM's link that weights may take; the rest is for live streams.
	linkPart = 0.85
	// receiversAge is the age up to which the list of the reports' receivers is used again.
	receiversAge = 250 * time.Millisecond
	// alonePause is the time without a desired state after which a side process reads the store itself.
	alonePause = 2500 * time.Millisecond
)

// Side is a running side process.
type Side struct {
	*node
	stager *stager.Stager
	sender *beacon.Sender
	giver  *transfer.Server

	listed   []*net.UDPAddr
	listedAt time.Time
}

// StartSide runs a side process until Stop.
func StartSide(s settings.Node, j *journal.Journal, p Platform) (*Side, error) {
	e := &Side{}
	e.node = newNode(s, hub.RoleSide, j, p, func() hub.Member { return e.record() })
	shelf := replica.NewCache(shelfBytes(&s), nil)
	rate := int64(linkPart * s.LinkMegabits * 1e6 / 8)
	e.stager = stager.New(stager.Options{
		Self:      s.ControlListen,
		Region:    s.Region,
		Service:   s.Service,
		Engine:    p.Engine(s.Upstream, e.dial),
		Directory: e.directory,
		Catalog:   e.catalog,
		Link:      e.link,
		Cache:     shelf,
		Pacer:     pace.New(rate),
		NewSource: func(o *hub.Origin, m *hub.EngineModel) hub.WeightSource { return p.Source(o, m, e.dial) },

		SwitchBound: e.switchBound,
		OnReport:    e.report,
		Log:         j.Logger(journal.Placement),
	})
	e.giver = transfer.NewServer(shelf, pace.New(rate))
	if err := e.listen(e.giver, e.record, func() error { return nil }); err != nil {
		return nil, err
	}
	e.sender = beacon.NewSender(e.reports, s.Upstream)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.run(ctx)
	e.running.Go(func() { e.stager.Run(ctx) })
	e.running.Go(func() { e.readAlone(ctx) })
	return e, nil
}

// ChunkBytesSent returns the bytes of chunks that were given to other side processes.
func (e *Side) ChunkBytesSent() int64 { return e.giver.BytesSent() }

// Progress returns the number of chunks of a version that are in memory and their total, 0 while neither is known.
func (e *Side) Progress(version uint64) (held, total int) { return e.stager.Progress(version) }

func shelfBytes(s *settings.Node) int64 {
	if s.MemoryMegabytes == 0 {
		return defaultShelf
	}
	return int64(shelfPart * float64(s.MemoryMegabytes) * (1 << 20))
}

// report tells the entry processes of the engine's load.
func (e *Side) report(r hub.UpstreamReport) {
	if err := e.sender.Send(r, e.receivers); err != nil {
		e.journal.Logger(journal.State).Debug().Err(err).Msg("beacon not sent")
	}
}

// receivers returns where the entry processes receive reports, as of a moment ago; only the stager calls it.
func (e *Side) receivers() []*net.UDPAddr {
	if time.Since(e.listedAt) >= receiversAge {
		e.listed, e.listedAt = e.reportAddresses(), time.Now()
	}
	return e.listed
}

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

// readAlone reads the store while no peer has told of the desired state.
func (e *Side) readAlone(ctx context.Context) {
	for hub.Sleep(ctx, alonePause) == nil {
		if e.directory.Current().Ready() {
			continue
		}
		if err := e.mirror.ReadOnce(ctx); err != nil {
			e.journal.Logger(journal.State).Warn().Err(err).Msg("no peer tells of the desired state and the store does not answer")
		}
	}
}

// Stop ends the process.
func (e *Side) Stop(ctx context.Context) {
	e.leave(ctx)
	e.end(ctx)
}
