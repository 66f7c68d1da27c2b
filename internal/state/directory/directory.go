package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// firstVersion is the version of a model for which the operator has named none.
const firstVersion = 1

// Options are what a directory works with.
type Options struct {
	Catalog *catalog.Catalog
	Decoder hub.StateDecoder
	// Regions maps failure domains to regions.
	Regions map[string]string
	// NamedBefore is how long ago a version counts as named that was there when this process started: nobody
	// tells when that was.
	NamedBefore time.Duration
	Log         *log.Logger
}

// Directory keeps the newest snapshot.
type Directory struct {
	options Options
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}

	// What follows is used by Rebuild only.
	revisions map[string]uint64
	known     map[Key]*Upstream
	targets   map[string]Target
	evacuated map[string]bool
	bad       map[string]uint64
	// directed is true once the operator's directives were read.
	directed bool
}

// New returns a directory without knowledge.
func New(o Options) *Directory {
	d := &Directory{
		options:   o,
		changed:   make(chan struct{}),
		revisions: map[string]uint64{},
		known:     map[Key]*Upstream{},
		targets:   map[string]Target{},
		evacuated: map[string]bool{},
		bad:       map[string]uint64{},
	}
	s := &Snapshot{}
	s.index()
	d.current.Store(s)
	return d
}

// Current returns the newest snapshot.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Changed returns a channel that is closed at the next snapshot.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Run rebuilds the snapshot at each change of a document until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for {
		renewed := d.options.Catalog.Renewed()
		d.Rebuild()
		select {
		case <-ctx.Done():
			return
		case <-renewed:
		}
	}
}

// Rebuild publishes a snapshot of the catalog's documents if any has changed; it must not be called concurrently.
func (d *Directory) Rebuild() {
	configuration := d.options.Catalog.Document(mirror.DocumentConfiguration)
	directives := d.options.Catalog.Document(mirror.DocumentDirectives)
	upstreams := d.options.Catalog.Document(mirror.DocumentUpstreams)
	fresh := false
	for _, doc := range []hub.Document{configuration, directives, upstreams} {
		if doc.Revision > d.revisions[doc.Name] {
			d.revisions[doc.Name] = doc.Revision
			fresh = true
		}
	}
	if !fresh {
		return
	}
	old := d.current.Load()
	next := &Snapshot{Configuration: old.Configuration, Revision: old.Revision, UpstreamsRevision: upstreams.Revision}
	d.takeConfiguration(next, configuration)
	d.takeDirectives(next, directives)
	next.targets = d.targets
	next.index()
	d.takeUpstreams(next, upstreams)
	d.current.Store(next)
	d.mu.Lock()
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
}

// takeConfiguration keeps the last desired state that could be read.
func (d *Directory) takeConfiguration(next *Snapshot, doc hub.Document) {
	if doc.Revision <= next.Revision || doc.Revision == d.bad[doc.Name] {
		return
	}
	c, err := d.options.Decoder.Configuration(doc.Value)
	if err != nil {
		d.bad[doc.Name] = doc.Revision
		d.options.Log.Error().Uint64("Revision", doc.Revision).Uint64("InForce", next.Revision).Err(err).Msg("desired state not readable, the last one stays in force")
		return
	}
	next.Configuration, next.Revision = c, doc.Revision
	d.options.Log.Info().Uint64("Version", c.Version).Uint64("Revision", doc.Revision).Int("Routes", len(c.Routes)).Int("Accounts", len(c.Accounts)).Msg("desired state in force")
}

func (d *Directory) takeDirectives(next *Snapshot, doc hub.Document) {
	entries, err := mirror.Decode(doc.Value)
	if err != nil {
		d.options.Log.Error().Str("Document", doc.Name).Uint64("Revision", doc.Revision).Err(err).Msg("document not readable")
		next.Evacuated = d.evacuated
		return
	}
	var directives hub.Directives
	for _, e := range entries {
		if err := d.options.Decoder.Directive(e.Key, e.Value, &directives); err != nil {
			d.logBad(e, err)
		}
	}
	next.Evacuated = map[string]bool{}
	for _, domain := range directives.Evacuated {
		next.Evacuated[domain] = true
	}
	d.logEvacuations(next.Evacuated, doc.Revision)
	d.evacuated = next.Evacuated
	targets := make(map[string]Target, len(directives.Targets))
	for _, t := range directives.Targets {
		known := d.targets[t.Model]
		if known.Version >= t.Version {
			targets[t.Model] = known
			continue
		}
		since := time.Now()
		if !d.directed {
			since = since.Add(-d.options.NamedBefore)
		}
		targets[t.Model] = known.with(t.Version, since)
		d.options.Log.Info().Str("Model", t.Model).Uint64("Version", t.Version).Uint64("Before", known.Version).Uint64("Revision", doc.Revision).Msg("version named")
	}
	d.targets = targets
	d.directed = d.directed || doc.Revision != 0
}

func (d *Directory) logEvacuations(now map[string]bool, revision uint64) {
	for domain := range now {
		if !d.evacuated[domain] {
			d.options.Log.Info().Str("Domain", domain).Uint64("Revision", revision).Msg("failure domain out of service")
		}
	}
	for domain := range d.evacuated {
		if !now[domain] {
			d.options.Log.Info().Str("Domain", domain).Uint64("Revision", revision).Msg("failure domain back in service")
		}
	}
}

func (d *Directory) takeUpstreams(next *Snapshot, doc hub.Document) {
	entries, err := mirror.Decode(doc.Value)
	if err != nil {
		d.options.Log.Error().Str("Document", doc.Name).Uint64("Revision", doc.Revision).Err(err).Msg("document not readable")
	}
	kept := make(map[Key]*Upstream, len(entries))
	for _, e := range entries {
		i, err := d.options.Decoder.Instance(e.Key, e.Value)
		if err != nil {
			d.logBad(e, err)
			continue
		}
		u := d.upstream(i)
		kept[u.Key()] = u
		if service := next.services[i.Service]; service != nil {
			service.Upstreams = append(service.Upstreams, u)
		}
	}
	for key, u := range d.known {
		if kept[key] == nil {
			d.options.Log.Info().Str("Upstream", u.Id).Str("Service", u.Service).Uint64("Revision", doc.Revision).Msg("upstream no longer listed")
		}
	}
	d.known = kept
	for _, service := range next.services {
		if service.Engine != nil && service.Target.Version == 0 {
			service.Target.Version = firstVersion
		}
	}
}

// upstream returns the record of an instance, the known one where nothing has changed.
func (d *Directory) upstream(i hub.Instance) *Upstream {
	known := d.known[Key{Id: i.Id, Born: i.Born}]
	if known != nil && known.Instance == i {
		return known
	}
	u := &Upstream{Instance: i, Region: d.options.Regions[i.Domain]}
	switch {
	case known != nil && known.Cold == i.Cold:
		u.ColdUntil = known.ColdUntil
	case i.Cold > 0:
		u.ColdUntil = time.Now().Add(i.Cold)
	}
	if known == nil || known.Leaving != i.Leaving || known.Version != i.Version {
		d.options.Log.Info().Str("Upstream", i.Id).Str("Service", i.Service).Str("Address", i.Address).Str("Domain", i.Domain).
			Bool("Leaving", i.Leaving).Uint64("Version", i.Version).Int64("Born", i.Born).Dur("Cold", i.Cold).Msg("upstream listed")
	}
	return u
}

// logBad logs an entry that can't be read once for each of its revisions.
func (d *Directory) logBad(e mirror.Entry, err error) {
	if d.bad[e.Key] == e.Revision {
		return
	}
	d.bad[e.Key] = e.Revision
	d.options.Log.Warn().Str("Key", e.Key).Uint64("Revision", e.Revision).Err(err).Msg("entry not readable, left out")
}
