package side

import (
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/upstream/guard"
)

// Member returns the current member record of this process.
func (p *Side) Member() hub.Member {
	limit, running := p.guard.Load()
	m := hub.Member{
		Id:            p.settings.Id,
		Role:          hub.RoleSide,
		Address:       p.server.Address(),
		AdminAddress:  p.admin.Address(),
		Group:         p.settings.Group,
		Domain:        p.settings.Domain,
		Region:        p.settings.Region,
		Incarnation:   p.incarnation,
		Limit:         limit,
		Running:       running,
		RulesRevision: p.publisher.Current().RulesRevision,
	}
	if p.loader != nil {
		progress := p.loader.Progress()
		m.ServingVersion, m.ServingRoot = progress.ServingVersion, progress.ServingRoot
		m.HeldRoot, m.FetchingRoot = progress.HeldRoot, progress.FetchingRoot
		m.ChunksHeld, m.ChunksTotal = progress.ChunksHeld, progress.ChunksTotal
		m.Note = progress.Note
	}
	m.State = p.state()
	if m.Note == "" && m.State != hub.StateServing {
		m.Note = string(p.guard.Blocked())
	}
	return m
}

func (p *Side) state() string {
	switch r := p.guard.Blocked(); {
	case p.leaving.Load():
		return hub.StateLeaving
	case r == guard.ReasonNone, r == guard.ReasonDomainOut:
		return hub.StateServing
	case r == guard.ReasonLoading:
		return hub.StateLoading
	default:
		return hub.StateStarting
	}
}
