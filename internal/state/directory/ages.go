package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// ageSource is the source of the age of a target version.
type ageSource int

const (
	// ageSeen means that this process saw the version arrive.
	ageSeen ageSource = iota
	// ageTold means that a process which saw the version arrive has told its age, perhaps by way of others.
	ageTold
	// ageAssumed means that the version was already set when the process started that assumed the age.
	ageAssumed
)

// toldVersion identifies an age that other processes have told.
type toldVersion struct {
	model   string
	version uint64
	assumed bool
}

// toldAges holds the ages that other processes have told since they were last applied. It is safe for concurrent use.
type toldAges struct {
	// arrived receives a value after ages were added.
	arrived chan struct{}

	mu sync.Mutex
	// since holds the earliest time that was told for each version.
	since map[toldVersion]time.Time
}

func newToldAges() *toldAges {
	return &toldAges{arrived: make(chan struct{}, 1), since: map[toldVersion]time.Time{}}
}

// add adds ages as of a time.
func (a *toldAges) add(ages []hub.TargetAge, asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range ages {
		key := toldVersion{model: t.Model, version: t.Version, assumed: t.Assumed}
		since := asOf.Add(-t.Age)
		if earliest, ok := a.since[key]; !ok || since.Before(earliest) {
			a.since[key] = since
		}
	}
	select {
	case a.arrived <- struct{}{}:
	default:
	}
}

// take returns the ages and removes them.
func (a *toldAges) take() map[toldVersion]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.since
	a.since = map[toldVersion]time.Time{}
	return out
}

// Ages returns the ages of the target versions that may not have replaced all older ones yet. It leaves out models
// of which this process knows no age.
func (d *Directory) Ages() []hub.TargetAge {
	now := time.Now()
	targets := d.Current().targets
	var out []hub.TargetAge
	for _, model := range slices.Sorted(maps.Keys(targets)) {
		target := targets[model]
		out = append(out, target.ages(model, now, d.options.SwitchBound)...)
	}
	return out
}

// ages returns the ages of the versions from the newest to the first that was set at least bound before now, or none if
// all are assumed.
func (t *Target) ages(model string, now time.Time, bound time.Duration) []hub.TargetAge {
	var out []hub.TargetAge
	anyKnown := false
	for _, n := range slices.Backward(t.Named) {
		a := hub.TargetAge{Model: model, Version: n.Version, Age: now.Sub(n.Since), Assumed: n.source == ageAssumed}
		out = append(out, a)
		anyKnown = anyKnown || !a.Assumed
		if a.Age >= bound {
			break
		}
	}
	if !anyKnown {
		return nil
	}
	return out
}

// NeedsAges reports whether an assumed age may be that of a version which has not replaced all older ones yet.
func (d *Directory) NeedsAges() bool {
	usefulSince := time.Now().Add(-d.options.InitialTargetAge - d.options.SwitchBound)
	for _, t := range d.Current().targets {
		for _, n := range t.Named {
			if n.source == ageAssumed && n.Since.After(usefulSince) {
				return true
			}
		}
	}
	return false
}

// LearnAges takes ages that another process has told at a time not before asOf.
func (d *Directory) LearnAges(ages []hub.TargetAge, asOf time.Time) { d.told.add(ages, asOf) }

// applyToldAges updates the target versions by the ages that were told, and reports whether that has changed any. Until
// the first directives are applied they are kept.
func (d *Directory) applyToldAges() (changed bool) {
	if !d.directivesApplied {
		return false
	}
	targets := maps.Clone(d.targets)
	for v, since := range d.told.take() {
		target, ok := targets[v.model].withTold(v, since)
		if !ok {
			continue
		}
		changed = true
		targets[v.model] = target
		d.options.Log.Info().Str("Model", v.model).Uint64("Version", v.version).Dur("Age", time.Since(since)).Bool("Assumed", v.assumed).
			Msg("age of target version learned")
	}
	d.targets = targets
	return changed
}

// withTold returns t with a version that another process has told to be set since a time, or false if t stays as it is. A
// version that was replaced before this process started is added: its own deadline must not be extended to that of the
// version found at the start. An assumed age replaces none.
func (t Target) withTold(v toldVersion, since time.Time) (Target, bool) {
	i, found := slices.BinarySearchFunc(t.Named, v.version, func(n Named, version uint64) int { return cmp.Compare(n.Version, version) })
	told := Named{Version: v.version, Since: since, source: ageTold}
	if v.assumed {
		told.source = ageAssumed
	}
	named := Target{Version: t.Version, Named: slices.Clone(t.Named)}
	switch {
	case found && !v.assumed && replaces(&t.Named[i], since):
		named.Named[i] = told
	case !found && i < len(t.Named) && t.Named[i].source != ageSeen && len(t.Named) < maxNamedVersions:
		named.Named = slices.Insert(named.Named, i, told)
	default:
		return t, false
	}
	return named, true
}

// replaces reports whether a told time is to replace that of n: an assumed one, or one that was told and is later.
func replaces(n *Named, since time.Time) bool {
	return n.source == ageAssumed || n.source == ageTold && since.Before(n.Since)
}
