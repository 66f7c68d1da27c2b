package stager

import (
	"context"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

const (
	// withdrawMargin is the time before the end of SwitchBound at which an engine gives up an older version if it can't load a newer
	// one by then: requests that have a slot already are read and begin meanwhile. maxWithdrawPart is its maximum as a part of
	// SwitchBound.
	withdrawMargin  = 600 * time.Millisecond
	maxWithdrawPart = 0.1
)

// withdrawOlder makes the engine give up the older version that it holds if that is due to be replaced and no newer one can be loaded. It
// orders the engine to load a single layer: an engine that lacks layers runs no requests, so that none begins on the older version that
// was sent too late, is still on its way or waits in the engine's queue. A model of one layer can't be given up in this way: the order
// would load all of it, from whatever is staged.
func (s *Stager) withdrawOlder(ctx context.Context, service *directory.Service, report hub.UpstreamReport) {
	if service.Engine.Layers <= 1 || report.Busy || time.Since(s.orderedAt) < orderGrace || !s.dueSoon(service, report.Held) {
		return
	}
	order := s.withdrawal(ctx, service.Engine, report)
	s.orderedAt = time.Now()
	err := s.options.Engine.Load(ctx, order)
	line := s.options.Log.Warn()
	if err != nil {
		line = line.Err(err)
	}
	line.Uint64("Held", report.Held).Uint64("Version", order.Version).Int("Layer", order.Layers.First).Int("Running", report.Running).
		Int("Waiting", report.Waiting).Msg("older version withdrawn from the engine; no newer one can be loaded")
}

// withdrawal returns the order to load a single layer: one of a newer version, which it stages, or else the first one of the version that
// the engine holds.
func (s *Stager) withdrawal(ctx context.Context, e *hub.EngineModel, report hub.UpstreamReport) hub.LoadOrder {
	order := hub.LoadOrder{Model: e.Model, Version: report.Held, Orders: report.Orders, Layers: hub.LayerRange{End: 1}}
	if f, layer, ok := s.completeLayer(e, report.Held); ok && s.stageLayer(ctx, e, f, layer) {
		order.Version, order.Layers = f.version, hub.LayerRange{First: layer, End: layer + 1}
	}
	return order
}

// dueSoon reports whether a version must be replaced within the margin of a withdrawal, or earlier. It is false for 0.
func (s *Stager) dueSoon(service *directory.Service, version uint64) bool {
	next, ok := service.Target.After(version)
	bound := s.options.SwitchBound()
	margin := min(withdrawMargin, fraction(bound, maxWithdrawPart))
	return version != 0 && ok && time.Since(next.Since) >= bound-margin
}

// completeLayer returns the newest version above held of which all chunks of some layer have been fetched, and that layer.
func (s *Stager) completeLayer(e *hub.EngineModel, held uint64) (newest *fetch, layer int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for version, f := range s.fetches {
		if version <= held || f.replica == nil || newest != nil && version < newest.version {
			continue
		}
		if l, found := firstCompleteLayer(e, f.replica); found {
			newest, layer, ok = f, l, true
		}
	}
	return newest, layer, ok
}

// firstCompleteLayer returns the first layer of which r has all chunks.
func firstCompleteLayer(e *hub.EngineModel, r *replica.Replica) (int, bool) {
	for layer := range e.Layers {
		first, end := layerChunks(e, layer)
		complete := true
		for i := first; i < end; i++ {
			complete = complete && r.Has(i)
		}
		if complete {
			return layer, true
		}
	}
	return 0, false
}

// layerChunks returns the range of the chunks that contain a layer.
func layerChunks(e *hub.EngineModel, layer int) (first, end int) {
	return layer * e.Chunks / e.Layers, ((layer+1)*e.Chunks + e.Layers - 1) / e.Layers
}

// newestLoadable returns the newest version above held whose content is complete, or nil if there is none or it is about to be due for
// replacement itself: entry processes send it no requests, and the engine would have to give it up at once.
func (s *Stager) newestLoadable(service *directory.Service, held uint64) *fetch {
	best := s.newestComplete(held)
	if best != nil && s.dueSoon(service, best.version) {
		return nil
	}
	return best
}

// stageLayer stages the chunks of a layer. It returns false if one of them can't be staged, or if that takes longer than
// maxStagingTime: chunks that were staged first may have become corrupt meanwhile.
func (s *Stager) stageLayer(ctx context.Context, e *hub.EngineModel, f *fetch, layer int) bool {
	staging := startStopwatch()
	first, end := layerChunks(e, layer)
	for i := first; i < end; i++ {
		chunk, err := f.replica.Chunk(i)
		if err == nil {
			err = s.options.Engine.Stage(ctx, e.Model, i, chunk)
		}
		if err != nil {
			s.options.Log.Warn().Int("Chunk", i).Err(err).Msg("chunk could not be staged; older version withdrawn without it")
			return false
		}
	}
	return staging.elapsed() <= maxStagingTime
}
