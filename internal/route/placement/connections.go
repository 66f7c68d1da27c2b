package placement

import "github.com/oriolehub/oriolehub/internal/state/directory"

// connectionsUsed reports whether the requests of this process in progress at an upstream use all the connections to it
// that this process may have. Each of them uses one.
func (p *Placement) connectionsUsed(s *directory.Service, u *directory.Upstream, l *Load) bool {
	if p.options.Connections == nil || s.MaxConnections <= 0 {
		return false
	}
	return int(l.running.Load()) >= p.options.Connections(u.Address, s.MaxConnections)
}
