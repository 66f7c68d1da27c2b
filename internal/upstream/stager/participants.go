package stager

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// participants returns the side processes that fetch the service's weights, sorted by ID and including this one. Their
// control addresses serve as IDs, because the list of upstreams also yields the addresses of processes whose member
// records have not arrived yet. All processes therefore assign the chunks in the same way even right after all of them
// have restarted. VMs that leave are not assigned any: one that has gone would take along the only copy of a chunk.
func (s *Stager) participants(string) []hub.Member {
	known, leaving := s.listedMembers()
	for _, m := range s.options.Catalog.Members() {
		if m.Role != hub.RoleSide || m.Group != s.options.Service {
			continue
		}
		if !m.Alive() || leaving[m.Address] {
			delete(known, m.Address)
			continue
		}
		known[m.Address] = hub.Member{Id: m.Address, Address: m.Address, Region: m.Region}
	}
	if _, ok := known[s.options.Self]; !ok {
		known[s.options.Self] = hub.Member{Id: s.options.Self, Address: s.options.Self, Region: s.options.Region}
	}
	out := make([]hub.Member, 0, len(known))
	for _, m := range known {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b hub.Member) int { return cmp.Compare(a.Id, b.Id) })
	return out
}

// listedMembers returns the side processes next to the listed upstreams by address, and the addresses of those whose
// upstreams are all leaving. Each one listens at the address of its VM, on a port that is the same on all VMs.
func (s *Stager) listedMembers() (members map[string]hub.Member, leaving map[string]bool) {
	members, leaving = map[string]hub.Member{}, map[string]bool{}
	_, port, err := net.SplitHostPort(s.options.Self)
	service := s.options.Directory.Current().Service(s.options.Service)
	if err != nil || service == nil {
		return members, leaving
	}
	for _, u := range service.Upstreams {
		address := u.SideAddress(port)
		switch {
		case address == "":
		case u.Leaving:
			leaving[address] = members[address].Id == ""
		default:
			members[address] = hub.Member{Id: address, Address: address, Region: u.Region}
			leaving[address] = false
		}
	}
	return members, leaving
}

// hashRank returns the rank of this process among all participants in the hash order of seed, and their number.
func (s *Stager) hashRank(seed string) (rank, total int) {
	members := s.participants("")
	own := xxhash.Sum64String(seed + "/" + s.options.Self)
	for _, m := range members {
		if xxhash.Sum64String(seed+"/"+m.Id) < own {
			rank++
		}
	}
	return rank, len(members)
}
