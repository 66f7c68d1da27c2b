package directory

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Snapshot is never changed once published.
type Snapshot struct {
	// Configuration is nil until the desired state is known.
	Configuration *hub.Configuration
	// Revision is that of the desired state in the store.
	Revision uint64
	// UpstreamsRevision is that of the list of upstreams, 0 until it is known.
	UpstreamsRevision uint64
	Evacuated         map[string]bool

	routes   map[string][]*hub.Route
	accounts map[string]*hub.Account
	services map[string]*Service
	targets  map[string]Target
}

// Service is a service with its upstreams.
type Service struct {
	hub.Service
	// Upstreams are all that are listed, in the order of their IDs.
	Upstreams []*Upstream
	// Target is the version that its upstreams are to hold, zero for plain services.
	Target Target
}

// Upstream is one listed lifetime of an upstream.
type Upstream struct {
	hub.Instance
	Region string
	// ColdUntil is when the upstream stops being cold.
	ColdUntil time.Time
}

// Key identifies the lifetime: an ID may be used again.
func (u *Upstream) Key() Key { return Key{Id: u.Id, Born: u.Born} }

// SideAddress returns the control address of the side process beside the upstream, which listens at the same IP
// address on a port that is the same on all VMs; "" where the upstream's address can't be read.
func (u *Upstream) SideAddress(port string) string {
	host, _, err := net.SplitHostPort(u.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// Key identifies one lifetime of an upstream.
type Key struct {
	Id   string
	Born int64
}

// Target is the version that upstreams are to hold, with the earlier ones whose time may not be over yet.
type Target struct {
	Version uint64
	// Named are the versions that the operator has named, the newest last.
	Named []Named
}

// Named is a version with the time at which this process learned of it.
type Named struct {
	Version uint64
	Since   time.Time
}

// Due returns the newest version that was named longer than bound ago, 0 for none: older ones must not answer.
func (t *Target) Due(now time.Time, bound time.Duration) uint64 {
	for i := len(t.Named) - 1; i >= 0; i-- {
		if now.Sub(t.Named[i].Since) >= bound {
			return t.Named[i].Version
		}
	}
	return 0
}

// After returns the oldest version that was named after held, with the time at which that became known.
func (t *Target) After(held uint64) (Named, bool) {
	for _, n := range t.Named {
		if n.Version > held {
			return n, true
		}
	}
	return Named{}, false
}

// with returns the target once another version is named; only the last few are remembered.
func (t Target) with(version uint64, now time.Time) Target {
	named := append(slices.Clone(t.Named), Named{Version: version, Since: now})
	return Target{Version: version, Named: named[max(0, len(named)-keptVersions):]}
}

// keptVersions is the number of named versions that are remembered.
const keptVersions = 8

// Ready reports whether enough is known to serve requests.
func (s *Snapshot) Ready() bool { return s.Configuration != nil && s.UpstreamsRevision != 0 }

// Route returns the route with the longest prefix of the path on the host, or nil.
func (s *Snapshot) Route(host, path string) *hub.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HasAccounts reports whether requests need a key.
func (s *Snapshot) HasAccounts() bool {
	return s.Configuration != nil && len(s.Configuration.Accounts) > 0
}

// Account returns the client account that holds a key, or nil.
func (s *Snapshot) Account(key string) *hub.Account { return s.accounts[key] }

// Service returns a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services returns all services of the desired state.
func (s *Snapshot) Services() map[string]*Service { return s.services }

// Origin returns the origin of weights, or nil.
func (s *Snapshot) Origin() *hub.Origin {
	if s.Configuration == nil {
		return nil
	}
	for i := range s.Configuration.Services {
		if o := s.Configuration.Services[i].Origin; o != nil {
			return o
		}
	}
	return nil
}

// index fills the lookups of the desired state.
func (s *Snapshot) index() {
	s.routes = map[string][]*hub.Route{}
	s.accounts = map[string]*hub.Account{}
	s.services = map[string]*Service{}
	if s.Configuration == nil {
		return
	}
	for i := range s.Configuration.Routes {
		r := &s.Configuration.Routes[i]
		host := strings.ToLower(r.Host)
		s.routes[host] = append(s.routes[host], r)
	}
	for _, routes := range s.routes {
		slices.SortStableFunc(routes, func(a, b *hub.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range s.Configuration.Accounts {
		a := &s.Configuration.Accounts[i]
		for _, key := range a.Keys {
			s.accounts[key] = a
		}
	}
	for i := range s.Configuration.Services {
		service := &Service{Service: s.Configuration.Services[i]}
		if e := service.Engine; e != nil {
			service.Target = s.targets[e.Model]
		}
		s.services[service.Name] = service
	}
}
