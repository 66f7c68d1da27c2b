package directory

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
)

// defaultVersion is the target version of a model for which the operator has set none.
const defaultVersion = 1

// Options configures a Directory.
type Options struct {
	Catalog *catalog.Catalog
	Decoder hub.StateDecoder
	// Regions maps failure domains to regions.
	Regions map[string]string
	// InitialTargetAge is the assumed age of the target versions that are already set when this process starts. The
	// documents do not contain the time at which a version was set.
	InitialTargetAge time.Duration
	// SwitchBound is the time within which a target version must replace older ones; ages beyond it do not matter.
	SwitchBound time.Duration
	Log         *log.Logger
}

// Directory maintains the current snapshot.
type Directory struct {
	options Options
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}

	told *toldAges

	// The fields below are used by Rebuild only.

	// revisions holds the revision of each document at the last rebuild.
	revisions map[string]uint64
	// entries holds the entries of the list of upstreams of the last rebuild by key, upstreams its upstreams.
	entries   map[string]decodedEntry
	upstreams map[Key]*Upstream
	// targets is keyed by model.
	targets map[string]Target
	// evacuated holds the failure domains out of service, by the revision of the last directives that listed them.
	evacuated map[string]uint64
	// directivesEra and upstreamsEra are the eras of the store from which the two documents were read.
	directivesEra documentEra
	upstreamsEra  documentEra
	storeReturn   storeReturn
	// runs holds the newest known run of each upstream by ID.
	runs map[string]lastRun
	// recheckAt is the time at which entries that a restored store lacks are dropped, zero if there are none.
	recheckAt time.Time
	// rejected maps documents and keys that were not adopted to the revision for which that was logged.
	rejected map[string]uint64
	// directivesApplied is true once a directives document has been applied.
	directivesApplied bool
}

// decodedEntry is an entry of the list of upstreams, with the error if it cannot be decoded.
type decodedEntry struct {
	revision uint64
	instance hub.Instance
	err      error
}

// New returns a directory with an empty snapshot.
func New(o Options) *Directory {
	d := &Directory{
		options:   o,
		changed:   make(chan struct{}),
		revisions: map[string]uint64{},
		upstreams: map[Key]*Upstream{},
		targets:   map[string]Target{},
		evacuated: map[string]uint64{},
		rejected:  map[string]uint64{},
		told:      newToldAges(),
		runs:      map[string]lastRun{},
	}
	s := &Snapshot{}
	s.index()
	d.current.Store(s)
	return d
}

// Current returns the current snapshot.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Run rebuilds the snapshot after each change of a document, and after ages of targets were told, until ctx is done.
func (d *Directory) Run(ctx context.Context) {
	for {
		documentsChanged := d.options.Catalog.DocumentsChanged()
		d.Rebuild()
		recheck, stop := d.recheck()
		select {
		case <-ctx.Done():
			stop()
			return
		case <-documentsChanged:
		case <-recheck:
		case <-d.told.arrived:
		}
		stop()
	}
}

// recheck returns a channel that receives a value at recheckAt, and the function that stops its timer.
func (d *Directory) recheck() (at <-chan time.Time, stop func()) {
	if d.recheckAt.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(d.recheckAt))
	return timer.C, func() { timer.Stop() }
}

// Rebuild publishes a new snapshot if a document in the catalog has changed, recheckAt has passed or an age of a target
// was told that changes one. It must not be called concurrently.
func (d *Directory) Rebuild() {
	configuration := d.options.Catalog.Document(mirror.DocumentConfiguration)
	directives, directivesRevision := d.options.Catalog.List(mirror.DocumentDirectives)
	upstreams, upstreamsRevision := d.options.Catalog.List(mirror.DocumentUpstreams)
	now := time.Now()
	d.storeReturn.observe(d.options.Catalog.Document(mirror.DocumentReturn).Revision, now, d.upstreamsEra.known)
	modified := !d.recheckAt.IsZero() && !now.Before(d.recheckAt)
	for name, revision := range map[string]uint64{
		mirror.DocumentConfiguration: configuration.Revision, mirror.DocumentDirectives: directivesRevision, mirror.DocumentUpstreams: upstreamsRevision,
	} {
		if revision > d.revisions[name] {
			d.revisions[name] = revision
			modified = true
		}
	}
	modified = d.applyToldAges() || modified
	if !modified {
		return
	}
	d.recheckAt = time.Time{}
	old := d.current.Load()
	next := &Snapshot{Configuration: old.Configuration, Revision: old.Revision, UpstreamsRevision: upstreamsRevision, Revisions: maps.Clone(d.revisions)}
	d.applyConfiguration(next, configuration)
	d.applyDirectives(next, directives, directivesRevision)
	d.applyToldAges()
	next.targets = d.targets
	next.index()
	d.applyUpstreams(next, upstreams, upstreamsRevision)
	d.current.Store(next)
	d.mu.Lock()
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
}

// applyConfiguration decodes a newer configuration into next. If that fails, or if it is an older version that came back
// with a copy of the store, next keeps the previous configuration.
func (d *Directory) applyConfiguration(next *Snapshot, doc hub.Document) {
	if doc.Revision <= next.Revision || doc.Revision == d.rejected[doc.Name] {
		return
	}
	c, err := d.options.Decoder.Configuration(doc.Value)
	if err != nil {
		d.rejected[doc.Name] = doc.Revision
		d.options.Log.Error().Uint64("Revision", doc.Revision).Uint64("InForce", next.Revision).Err(err).Msg("cannot decode desired state, keeping the previous one")
		return
	}
	if next.Configuration != nil && c.OlderThan(next.Configuration) {
		d.rejected[doc.Name] = doc.Revision
		d.options.Log.Warn().Uint64("Revision", doc.Revision).Uint64("Version", c.Version).Uint64("InForce", next.Configuration.Version).Msg("store holds an older desired state than the one in force, keeping that")
		return
	}
	next.Configuration, next.Revision = c, doc.Revision
	line := d.options.Log.Info().Uint64("Version", c.Version).Uint64("Revision", doc.Revision).Int("Routes", len(c.Routes)).Int("Accounts", len(c.Accounts))
	d.withArrival(line, mirror.DocumentConfiguration, doc.Revision).Msg("desired state in force")
}

// applyDirectives sets the evacuated failure domains in next and updates the target versions. Entries that cannot be
// decoded are skipped.
func (d *Directory) applyDirectives(next *Snapshot, l *listing.List, revision uint64) {
	if l == nil {
		d.logUnreadable(mirror.DocumentDirectives, revision)
		next.Evacuated = evacuatedDomains(d.evacuated)
		return
	}
	now := time.Now()
	d.directivesEra.observe(revision, now)
	var directives hub.Directives
	for _, e := range l.Entries() {
		if err := d.options.Decoder.Directive(e.Key, e.Value, &directives); err != nil {
			d.logInvalid(e, err)
		}
	}
	evacuated := d.evacuations(directives.Evacuated, revision, now)
	d.logEvacuations(evacuated, revision)
	d.evacuated = evacuated
	next.Evacuated = evacuatedDomains(evacuated)
	d.applyTargets(directives.Targets, revision, now)
	d.directivesApplied = d.directivesApplied || revision != 0
}

// evacuations returns the failure domains out of service, as in evacuated. A domain that was out of service before the
// store was restored, and is not listed since, stays so for restoreGrace.
func (d *Directory) evacuations(listed []string, revision uint64, now time.Time) map[string]uint64 {
	out := map[string]uint64{}
	for _, domain := range listed {
		out[domain] = revision
	}
	for domain, seen := range d.evacuated {
		if _, ok := out[domain]; !ok && d.directivesEra.mayLack(seen, now) {
			out[domain] = seen
			d.recheckBy(d.directivesEra.since.Add(restoreGrace))
		}
	}
	return out
}

// recheckBy makes the snapshot be rebuilt at the given time, or earlier if that is planned already.
func (d *Directory) recheckBy(at time.Time) {
	if d.recheckAt.IsZero() || at.Before(d.recheckAt) {
		d.recheckAt = at
	}
}

// evacuatedDomains returns the set of the domains in evacuated.
func evacuatedDomains(evacuated map[string]uint64) map[string]bool {
	out := make(map[string]bool, len(evacuated))
	for domain := range evacuated {
		out[domain] = true
	}
	return out
}

// applyTargets updates the target versions. That of a model never decreases and is never dropped: the operator only
// raises it, so a lower one, or none, comes from a copy of the store that is older.
func (d *Directory) applyTargets(listed []hub.ModelTarget, revision uint64, now time.Time) {
	targets := maps.Clone(d.targets)
	for _, t := range listed {
		known := d.targets[t.Model]
		if known.Version >= t.Version {
			continue
		}
		since, source := now, ageSeen
		if !d.directivesApplied {
			since = since.Add(-d.options.InitialTargetAge)
			source = ageAssumed
		}
		targets[t.Model] = known.withVersion(t.Version, since, source)
		line := d.options.Log.Info().Str("Model", t.Model).Uint64("Version", t.Version).Uint64("Before", known.Version).Uint64("Revision", revision)
		d.withArrival(line, mirror.DocumentDirectives, revision).Msg("target version changed")
	}
	d.targets = targets
}

// logEvacuations logs the failure domains that were evacuated or returned to service since the last rebuild.
func (d *Directory) logEvacuations(now map[string]uint64, revision uint64) {
	for domain := range now {
		if _, ok := d.evacuated[domain]; !ok {
			line := d.options.Log.Info().Str("Domain", domain).Uint64("Revision", revision)
			d.withArrival(line, mirror.DocumentDirectives, revision).Msg("failure domain out of service")
		}
	}
	for domain := range d.evacuated {
		if _, ok := now[domain]; !ok {
			line := d.options.Log.Info().Str("Domain", domain).Uint64("Revision", revision)
			d.withArrival(line, mirror.DocumentDirectives, revision).Msg("failure domain back in service")
		}
	}
}

// applyUpstreams adds the listed upstreams to the services of next. Entries that cannot be decoded are skipped;
// if the list cannot be decoded, the upstreams of the last rebuild are kept.
func (d *Directory) applyUpstreams(next *Snapshot, l *listing.List, revision uint64) {
	if l == nil {
		d.logUnreadable(mirror.DocumentUpstreams, revision)
		d.keepUpstreams(next)
		return
	}
	now := time.Now()
	d.upstreamsEra.observe(revision, now)
	entries := make(map[string]decodedEntry, len(l.Entries()))
	var instances []hub.Instance
	for _, e := range l.Entries() {
		decoded := d.decode(e)
		entries[e.Key] = decoded
		if decoded.err != nil {
			continue
		}
		if i, ok := d.newestOf(decoded.instance, revision, now); ok {
			instances = append(instances, i)
		}
	}
	instances = append(instances, d.notWrittenAgain(revision, now)...)
	listed := make(map[Key]*Upstream, len(instances))
	for _, i := range instances {
		service := next.services[i.Service]
		if service != nil && service.lacksLayers(&i) {
			i.Version = 0
		}
		u := d.upstream(i)
		listed[u.Key()] = u
		if service != nil {
			service.Upstreams = append(service.Upstreams, u)
		}
	}
	next.sortUpstreams()
	for key, u := range d.upstreams {
		if listed[key] == nil {
			d.options.Log.Info().Str("Upstream", u.Id).Str("Service", u.Service).Uint64("Revision", revision).Msg("upstream no longer listed")
		}
	}
	d.entries, d.upstreams = entries, listed
	next.setDefaultTargets()
}

// decode returns the decoded entry; one that has not changed since the last rebuild is not decoded again.
func (d *Directory) decode(e listing.Entry) decodedEntry {
	if known, ok := d.entries[e.Key]; ok && known.revision == e.Revision {
		return known
	}
	i, err := d.options.Decoder.Instance(e.Key, e.Value)
	if err != nil {
		d.logInvalid(e, err)
	}
	return decodedEntry{revision: e.Revision, instance: i, err: err}
}

// logUnreadable logs that a document is not a list; a missing document is not logged.
func (d *Directory) logUnreadable(name string, revision uint64) {
	if revision != 0 && d.rejected[name] != revision {
		d.rejected[name] = revision
		d.options.Log.Error().Str("Document", name).Uint64("Revision", revision).Msg("document is not a list, keeping the previous one")
	}
}

// keepUpstreams adds the upstreams of the last rebuild to the services of next.
func (d *Directory) keepUpstreams(next *Snapshot) {
	for _, u := range d.upstreams {
		if service := next.services[u.Service]; service != nil {
			service.Upstreams = append(service.Upstreams, u)
		}
	}
	next.sortUpstreams()
	next.setDefaultTargets()
}

// upstream returns the Upstream of an instance; if the instance has not changed, that is the one of the last rebuild.
func (d *Directory) upstream(i hub.Instance) *Upstream {
	known := d.upstreams[Key{Id: i.Id, Born: i.Born}]
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

// logInvalid logs an entry that cannot be decoded, once for each of its revisions.
func (d *Directory) logInvalid(e listing.Entry, err error) {
	if d.rejected[e.Key] == e.Revision {
		return
	}
	d.rejected[e.Key] = e.Revision
	d.options.Log.Warn().Str("Key", e.Key).Uint64("Revision", e.Revision).Err(err).Msg("cannot decode entry, skipping it")
}
