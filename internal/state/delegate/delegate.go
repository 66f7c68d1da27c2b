package delegate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// PerDomain is the number of delegates in each failure domain: the second continues the duty until all processes have
// noticed that the first has failed.
const PerDomain = 2

// Duty is what delegates do for others.
type Duty string

// Duties of delegates.
const (
	// ReadStore is to follow the keys in the platform's store and to publish them.
	ReadStore Duty = "read-store"
	// CollectReports is to receive the load reports of all upstreams and to pass them on.
	CollectReports Duty = "collect-reports"
)

// Choose returns the delegates for a duty in a failure domain, at most PerDomain.
//
// The members are ranked by a hash, so that all processes that know the same members choose the same delegates and a
// change of one member moves a duty only where that member was concerned. For ReadStore, processes that do not reach the
// store come after the others, and those that are leaving last: if all leave at the same time, they read it until they end.
func Choose(duty Duty, domain string, members []hub.Member) []hub.Member {
	var ranked []hub.Member
	for _, m := range members {
		if m.Role == hub.RoleEntry && m.Domain == domain && eligible(duty, &m) {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b hub.Member) int {
		if d := rank(duty, &a) - rank(duty, &b); d != 0 {
			return d
		}
		return cmp.Compare(hash(duty, &a), hash(duty, &b))
	})
	return ranked[:min(PerDomain, len(ranked))]
}

// eligible reports whether a member can be given a duty.
func eligible(duty Duty, m *hub.Member) bool {
	return m.Alive() || duty == ReadStore && m.State == hub.StateLeaving && !m.Suspected
}

// rank returns a number above 0 for members to which a duty is given only if there are too few of a lower rank.
func rank(duty Duty, m *hub.Member) int {
	switch {
	case duty != ReadStore:
		return 0
	case m.State == hub.StateLeaving:
		return 2
	case m.State == hub.StateDetached:
		return 1
	default:
		return 0
	}
}

func hash(duty Duty, m *hub.Member) uint64 { return xxhash.Sum64String(string(duty) + "/" + m.Id) }

// Chosen reports whether the member with the given ID is one of the delegates.
func Chosen(delegates []hub.Member, id string) bool {
	return slices.ContainsFunc(delegates, func(m hub.Member) bool { return m.Id == id })
}
