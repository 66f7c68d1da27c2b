package node

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/delegate"
)

// forgetMembers periodically removes the records of former members until ctx is done.
func (n *node) forgetMembers(ctx context.Context) {
	for hub.Sleep(ctx, forgetInterval) == nil {
		n.catalog.Forget(forgetAfter)
	}
}

// member returns the member record of this process with the given state.
func (n *node) member(state string) hub.Member {
	s := &n.settings
	return hub.Member{
		Id:           s.Id,
		Role:         n.role,
		Address:      s.ControlListen,
		AdminAddress: s.AdminListen,
		Group:        s.Service,
		Domain:       s.Domain,
		Region:       s.Region,
		Incarnation:  n.incarnation,
		State:        state,
	}
}

// seedAddresses returns the control addresses of the seeds: the peers in the settings and the side processes of the
// listed engines. Before the desired state is known, these are the peers and all known entry processes, which read the
// store when they start.
func (n *node) seedAddresses() []string {
	peers := *n.peers.Load()
	if n.directory.Current().Ready() {
		return append(n.listedSideAddresses(), peers...)
	}
	out := slices.Clone(peers)
	for _, m := range n.aliveMembers(hub.RoleEntry) {
		if !slices.Contains(out, m.Address) {
			out = append(out, m.Address)
		}
	}
	return out
}

// listedSideAddresses returns the control addresses of the side processes next to the listed engines. A side process
// listens on the address of its VM and on a port that is the same on all VMs.
func (n *node) listedSideAddresses() []string {
	_, port, err := net.SplitHostPort(n.settings.ReportListen)
	if err != nil {
		return nil
	}
	var out []string
	for _, service := range n.directory.Current().Services() {
		if service.Engine == nil {
			continue
		}
		for _, u := range service.Upstreams {
			if address := u.SideAddress(port); address != "" {
				out = append(out, address)
			}
		}
	}
	return out
}

// readsStore reports whether this process reads the store: as one of the delegates of its failure domain, or because it
// hears of no other process.
func (n *node) readsStore() bool {
	return n.isDelegate(delegate.ReadStore) || n.exchange.SinceHeard() > n.silenceLimit
}

// isDelegate reports whether this process is a delegate of its failure domain for a duty.
func (n *node) isDelegate(duty delegate.Duty) bool {
	return delegate.Chosen(n.delegates.Of(duty, n.settings.Domain), n.settings.Id)
}

// aliveMembers returns the records of the other processes with a role that are alive.
func (n *node) aliveMembers(role string) []hub.Member {
	var out []hub.Member
	for _, m := range n.catalog.Members() {
		if m.Role == role && m.Alive() && m.Id != n.settings.Id {
			out = append(out, m.Member)
		}
	}
	return out
}

// estimatedEntries returns the number of entry processes by which shared limits are divided. It includes all known
// entry processes, because one that is unreachable from here may still be running. The minimum is entriesPerPeer for
// each peer in the settings, because a process that has just started has no records of others.
func (n *node) estimatedEntries() int {
	known := 0
	for _, m := range n.catalog.Members() {
		if m.Role == hub.RoleEntry {
			known++
		}
	}
	return max(known, n.assumedEntries())
}

// assumedEntries returns the number of entry processes that is assumed while fewer are known.
func (n *node) assumedEntries() int { return entriesPerPeer * len(*n.peers.Load()) }

// knownEntries returns the IDs of all known entry processes, also of unreachable ones.
func (n *node) knownEntries() []string {
	var out []string
	for _, m := range n.catalog.Members() {
		if m.Role == hub.RoleEntry {
			out = append(out, m.Id)
		}
	}
	return out
}

// reportAddressesOf returns the UDP addresses on which members receive reports and notices.
func (n *node) reportAddressesOf(members []hub.Member) []netip.AddrPort {
	own, err := netip.ParseAddrPort(n.settings.ReportListen)
	if err != nil {
		return nil
	}
	var out []netip.AddrPort
	for i := range members {
		if address, err := netip.ParseAddrPort(members[i].Address); err == nil {
			out = append(out, netip.AddrPortFrom(address.Addr(), own.Port()))
		}
	}
	return out
}
