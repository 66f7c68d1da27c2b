package stager

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// participants returns the side processes that fetch the service's weights, sorted by ID, this one included. Their
// IDs are their control addresses: the list of upstreams tells these of processes that nobody has heard of yet, so
// that after a restart of all the duties are dealt alike everywhere from the first moment.
func (s *Stager) participants(string) []hub.Member {
	known := map[string]hub.Member{}
	for _, m := range s.listed() {
		known[m.Id] = m
	}
	for _, m := range s.options.Catalog.Members() {
		if m.Role != hub.RoleSide || m.Group != s.options.Service {
			continue
		}
		if !m.Alive() {
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

// listed returns the side processes beside the listed upstreams: each listens at its VM's address, on the port that
// is the same on all VMs.
func (s *Stager) listed() []hub.Member {
	_, port, err := net.SplitHostPort(s.options.Self)
	service := s.options.Directory.Current().Service(s.options.Service)
	if err != nil || service == nil {
		return nil
	}
	var out []hub.Member
	for _, u := range service.Upstreams {
		if address := u.SideAddress(port); address != "" {
			out = append(out, hub.Member{Id: address, Address: address, Region: u.Region})
		}
	}
	return out
}

// place returns the place of this process among all participants in the hash order of a seed.
func (s *Stager) place(seed string) (rank, total int) {
	members := s.participants("")
	own := xxhash.Sum64String(seed + "/" + s.options.Self)
	for _, m := range members {
		if xxhash.Sum64String(seed+"/"+m.Id) < own {
			rank++
		}
	}
	return rank, len(members)
}
