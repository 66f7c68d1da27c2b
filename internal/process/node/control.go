package node

import (
	"net"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/wire/link"
)

const (
	// controlConnectionsPerMegabyte limits the connections from other processes by the memory: an idle one takes 17.5 KiB.
	// minControlConnections allows for two connections from each of about 130 processes on a VM with less than 86 MiB.
	controlConnectionsPerMegabyte = 3
	minControlConnections         = 256
	// entryDescriptorShare and sideDescriptorShare divide the file descriptors to give those for connections from other
	// processes. An entry process needs most of them for callers and upstreams.
	entryDescriptorShare = 4
	sideDescriptorShare  = 2
)

// controlConnections returns the number of connections from other processes that a process may accept, which may open the
// given number of file descriptors.
func controlConnections(s *settings.Node, role string, descriptors int) int {
	n := s.Listeners.ControlConnections
	if s.MemoryMegabytes > 0 {
		n = min(n, max(minControlConnections, controlConnectionsPerMegabyte*s.MemoryMegabytes))
	}
	if role == hub.RoleEntry {
		return min(n, descriptors/entryDescriptorShare)
	}
	return min(n, descriptors/sideDescriptorShare)
}

// limitControl puts the limits on the listener of other processes.
func (n *node) limitControl(inner net.Listener) (net.Listener, error) {
	descriptors, err := descriptorsOf(&n.settings)
	if err != nil {
		return nil, err
	}
	return link.Limit(inner, link.Limits{
		Connections: controlConnections(&n.settings, n.role, descriptors),
		Bytes:       n.settings.Listeners.ControlBytes(n.settings.MemoryMegabytes),
		Metrics:     n.metrics,
		Log:         n.journal.Logger(journal.Process),
	})
}
