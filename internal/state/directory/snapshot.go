package directory

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// Snapshot is an immutable view of the replicated documents.
type Snapshot struct {
	// Configuration is nil until a configuration has been decoded.
	Configuration *hub.Configuration
	// Revision is the store revision of Configuration.
	Revision uint64
	// UpstreamsRevision is the store revision of the list of upstreams, 0 until it is known.
	UpstreamsRevision uint64
	// Revisions holds the revision of each document from which the snapshot was built, by name.
	Revisions map[string]uint64
	// Evacuated is the set of failure domains that receive no new requests.
	Evacuated map[string]bool

	// routes holds the routes of each host in lower case, the longest path prefix first.
	routes map[string][]*hub.Route
	// accounts is keyed by API key.
	accounts map[string]*hub.Account
	services map[string]*Service
	// targets is keyed by model.
	targets map[string]Target
}

// Service is a configured service with its listed upstreams.
type Service struct {
	hub.Service
	// Upstreams lists all upstreams of the service, sorted by ID.
	Upstreams []*Upstream
	// Target is the version that the upstreams must load, zero for plain services.
	Target Target
}

// lacksLayers reports whether i lists the layers that it has loaded and lacks some of those of the service's model.
func (s *Service) lacksLayers(i *hub.Instance) bool {
	return s.Engine != nil && i.Layers >= 0 && i.Layers < s.Engine.Layers
}

// Upstream is one listed run of an upstream, from start to exit. An engine that lacks layers has Version 0.
type Upstream struct {
	hub.Instance
	Region string
	// ColdUntil is the time at which the upstream's warm-up ends, zero if it was listed as warm.
	ColdUntil time.Time
}

// Key returns the key of the run; the ID alone is not unique, because it may be reused.
func (u *Upstream) Key() Key { return Key{Id: u.Id, Born: u.Born} }

// SideAddress returns the control address of the upstream's side process, which listens on the upstream's host and
// on a port that is the same on all VMs. It returns "" if the upstream's address is invalid.
func (u *Upstream) SideAddress(port string) string {
	host, _, err := net.SplitHostPort(u.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// Key identifies one run of an upstream.
type Key struct {
	Id   string
	Born int64
}

// Target is the version of a model that upstreams must load, with earlier targets that may still be served.
type Target struct {
	Version uint64
	// Named lists the last target versions that the operator has set, the newest last. It includes Version, unless
	// that is the default version because the operator has set none.
	Named []Named
}

// Named is a version that the operator has set as target. Since is the time at which the first process received it, as far as this one
// has seen or been told. For a version that was set before this process started and whose age no process has told, it is earlier than the
// start by Options.InitialTargetAge.
type Named struct {
	Version uint64
	Since   time.Time
	// latest is the latest possible time if Since is only the earliest possible one, else zero. Other processes are told the age since
	// latest: the time of a message must not spread as age.
	latest time.Time
	// source is the source of Since.
	source ageSource
}

// ageAt returns the age to tell other processes at the time now.
func (n *Named) ageAt(now time.Time) time.Duration {
	if !n.latest.IsZero() {
		return now.Sub(n.latest)
	}
	return now.Sub(n.Since)
}

// Due returns the newest version that was set at least bound before now, or 0 if there is none. Upstreams with older
// versions must not serve requests.
func (t *Target) Due(now time.Time, bound time.Duration) uint64 {
	for i := len(t.Named) - 1; i >= 0; i-- {
		if now.Sub(t.Named[i].Since) >= bound {
			return t.Named[i].Version
		}
	}
	return 0
}

// After returns the oldest known target version that is higher than held, or false if there is none.
func (t *Target) After(held uint64) (Named, bool) {
	for _, n := range t.Named {
		if n.Version > held {
			return n, true
		}
	}
	return Named{}, false
}

// withVersion returns t with version as the newest target, set at the time since.
func (t Target) withVersion(version uint64, since time.Time, source ageSource) Target {
	named := append(slices.Clone(t.Named), Named{Version: version, Since: since, source: source})
	return Target{Version: version, Named: shorten(named, since)}
}

const (
	// maxNamedVersions is the maximum length of Target.Named.
	maxNamedVersions = 64
	// namedTTL exceeds the time for which versions may be served after a newer one was set.
	namedTTL = 10 * time.Minute
)

// shorten returns named with at most maxNamedVersions targets. It drops the oldest if that may not be served any more. Otherwise it
// joins the two that were set in the quickest succession: the newer one counts from the time of the older one, so that no version
// may be served for longer.
func shorten(named []Named, now time.Time) []Named {
	if len(named) <= maxNamedVersions {
		return named
	}
	if now.Sub(named[1].Since) >= namedTTL {
		return named[1:]
	}
	older := 0
	for i := range len(named) - 1 {
		if named[i+1].Since.Sub(named[i].Since) < named[older+1].Since.Sub(named[older].Since) {
			older = i
		}
	}
	named[older+1].Since = named[older].Since
	return slices.Delete(named, older, older+1)
}

// Ready reports whether the configuration and the list of upstreams are known, so that requests can be served.
func (s *Snapshot) Ready() bool { return s.Configuration != nil && s.UpstreamsRevision != 0 }

// Route returns the route of the host with the longest path prefix that matches path, or nil. host may include a port.
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

// HasAccounts reports whether requests require an API key.
func (s *Snapshot) HasAccounts() bool {
	return s.Configuration != nil && len(s.Configuration.Accounts) > 0
}

// Account returns the client account with an API key, or nil.
func (s *Snapshot) Account(key string) *hub.Account { return s.accounts[key] }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services returns all configured services by name.
func (s *Snapshot) Services() map[string]*Service { return s.services }

// Origin returns the server from which published weights are read, or nil.
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

// index builds the lookup maps from the configuration.
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

// sortUpstreams sorts the upstreams of each service by ID.
func (s *Snapshot) sortUpstreams() {
	for _, service := range s.services {
		slices.SortFunc(service.Upstreams, func(a, b *Upstream) int { return cmp.Compare(a.Id, b.Id) })
	}
}

// setDefaultTargets sets the target version of the engines for which the operator has set none.
func (s *Snapshot) setDefaultTargets() {
	for _, service := range s.services {
		if service.Engine != nil && service.Target.Version == 0 {
			service.Target.Version = defaultVersion
		}
	}
}
