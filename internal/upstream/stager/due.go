package stager

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// due returns the time left until an engine that holds version held must hold a newer one, negative if it is late. It returns
// false if the engine holds none or no newer version was named.
func (s *Stager) due(service *directory.Service, held uint64) (time.Duration, bool) {
	oldest, ok := service.Target.After(held)
	if held == 0 || !ok {
		return 0, false
	}
	return time.Until(oldest.Since.Add(s.options.SwitchBound())), true
}

// Overdue returns for how long the engine has held a version that a newer one should have replaced by now, 0 if it holds none
// such. A paused or silent engine counts by its last report.
func (s *Stager) Overdue() time.Duration {
	report := s.report.Load()
	service := s.options.Directory.Current().Service(s.options.Service)
	if report == nil || service == nil {
		return 0
	}
	left, ok := s.due(service, report.Held)
	if !ok {
		return 0
	}
	return max(0, -left)
}

// logHeld logs the first report by which the engine holds all layers of a version.
func (s *Stager) logHeld(service *directory.Service, report *hub.UpstreamReport) {
	before, held := s.held, report.Held
	if !allLayersLoaded(service, *report) {
		held = 0
	}
	s.held = held
	if held == 0 || held == before {
		return
	}
	line := s.options.Log.Info().Uint64("Version", held).Uint64("Before", before).Int64("Born", report.Born)
	if since, ok := sinceNamed(&service.Target, held); ok {
		line = line.Dur("SinceNamed", since)
	}
	if !s.orderedAt.IsZero() {
		line = line.Dur("SinceOrdered", time.Since(s.orderedAt))
	}
	line.Msg("engine holds version")
}

// sinceNamed returns the time since a version was named, or false if this process knows no time.
func sinceNamed(t *directory.Target, version uint64) (time.Duration, bool) {
	n, ok := t.After(version - 1)
	if !ok || n.Version != version {
		return 0, false
	}
	return time.Since(n.Since), true
}
