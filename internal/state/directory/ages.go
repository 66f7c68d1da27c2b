package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// minCorrection is the least time by which a told age corrects one that this process knows, so that the differences between
	// messages cause no new snapshots.
	minCorrection = 20 * time.Millisecond
	// recentBounds is the age, as a multiple of SwitchBound, up to which the age of a version is told to all processes. It exceeds the
	// bound because the clock of a process whose VM was suspended may be late by seconds.
	recentBounds = 4
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

// toldSince is the time since which a version is set by an age that was told: between earliest, if the message with the age took all of
// the time of its call, and latest, if it took no time.
type toldSince struct {
	earliest time.Time
	latest   time.Time
}

// merge replaces the times of s by earlier ones.
func (s *toldSince) merge(other toldSince) {
	s.earliest = earlier(s.earliest, other.earliest)
	s.latest = earlier(s.latest, other.latest)
}

// toldAges holds the ages that other processes have told since they were last applied. It is safe for concurrent use.
type toldAges struct {
	// arrived receives a value after ages were added.
	arrived chan struct{}

	mu    sync.Mutex
	since map[toldVersion]toldSince
}

func newToldAges() *toldAges {
	return &toldAges{arrived: make(chan struct{}, 1), since: map[toldVersion]toldSince{}}
}

// add adds ages as of a time between two others.
func (a *toldAges) add(ages []hub.TargetAge, notBefore, notAfter time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range ages {
		key := toldVersion{model: t.Model, version: t.Version, assumed: t.Assumed}
		told := toldSince{earliest: notBefore.Add(-t.Age), latest: notAfter.Add(-t.Age)}
		if known, ok := a.since[key]; ok {
			told.merge(known)
		}
		a.since[key] = told
	}
	select {
	case a.arrived <- struct{}{}:
	default:
	}
}

// take returns the ages of the versions up to those in targets, and removes them. The others are kept until their versions arrive.
func (a *toldAges) take(targets map[string]Target) map[toldVersion]toldSince {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[toldVersion]toldSince{}
	for v, since := range a.since {
		if v.version <= targets[v.model].Version {
			out[v] = since
			delete(a.since, v)
		}
	}
	return out
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Ages returns the ages of the target versions that may not have replaced all older ones yet. It leaves out models
// of which this process knows no age.
func (d *Directory) Ages() []hub.TargetAge {
	return d.agesSince(time.Time{})
}

// RecentAges is Ages for the models whose newest target version was set a short time ago.
func (d *Directory) RecentAges() []hub.TargetAge {
	return d.agesSince(time.Now().Add(-recentBounds * d.options.SwitchBound))
}

// agesSince is Ages for the models whose newest target version was set after the given time.
func (d *Directory) agesSince(begin time.Time) []hub.TargetAge {
	now := time.Now()
	targets := d.Current().targets
	var out []hub.TargetAge
	for _, model := range slices.Sorted(maps.Keys(targets)) {
		target := targets[model]
		if n := len(target.Named); n > 0 && target.Named[n-1].Since.After(begin) {
			out = append(out, target.ages(model, now, d.options.SwitchBound)...)
		}
	}
	return out
}

// ages returns the ages of the versions from the newest to the first that was set at least bound before now, or none if
// all are assumed.
func (t *Target) ages(model string, now time.Time, bound time.Duration) []hub.TargetAge {
	var out []hub.TargetAge
	anyKnown := false
	for _, n := range slices.Backward(t.Named) {
		a := hub.TargetAge{Model: model, Version: n.Version, Age: n.ageAt(now), Assumed: n.source == ageAssumed}
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

// NeedsAges reports whether an age that this process knows may be that of a version which has not replaced all older ones yet.
func (d *Directory) NeedsAges() bool {
	now := time.Now()
	for _, t := range d.Current().targets {
		for _, n := range t.Named {
			useful := d.options.SwitchBound
			if n.source == ageAssumed {
				useful += d.options.InitialTargetAge
			}
			if now.Sub(n.Since) < useful {
				return true
			}
		}
	}
	return false
}

// LearnAges takes ages that another process has told, as of a time between notBefore and notAfter.
func (d *Directory) LearnAges(ages []hub.TargetAge, notBefore, notAfter time.Time) {
	d.told.add(ages, notBefore, notAfter)
}

// applyToldAges updates the target versions by the ages that were told, and reports whether that has changed any. Until
// the first directives are applied they are kept.
func (d *Directory) applyToldAges() (changed bool) {
	if !d.directivesApplied {
		return false
	}
	targets := maps.Clone(d.targets)
	for v, told := range d.told.take(targets) {
		target, ok := targets[v.model].withTold(v, told)
		if !ok {
			continue
		}
		changed = true
		targets[v.model] = target
		d.options.Log.Info().Str("Model", v.model).Uint64("Version", v.version).Dur("Age", time.Since(told.latest)).Bool("Assumed", v.assumed).
			Msg("age of target version learned")
	}
	d.targets = targets
	return changed
}

// withTold returns t with the time since which another process says that a version is set, or false if t stays as it is. A
// version that was replaced before this process started, or that it has missed, is added: its own deadline must not be extended to that
// of the next version. An assumed age replaces none.
func (t Target) withTold(v toldVersion, told toldSince) (Target, bool) {
	i, found := slices.BinarySearchFunc(t.Named, v.version, func(n Named, version uint64) int { return cmp.Compare(n.Version, version) })
	named := Target{Version: t.Version, Named: slices.Clone(t.Named)}
	switch {
	case found && !v.assumed:
		corrected, ok := t.Named[i].corrected(told)
		named.Named[i] = corrected
		return named, ok
	case !found && i < len(t.Named) && len(t.Named) < maxNamedVersions && (t.Named[i].source != ageSeen || !v.assumed):
		added := Named{Version: v.version, Since: told.earliest, latest: told.latest, source: ageTold}
		if v.assumed {
			added.source = ageAssumed
		}
		named.Named = slices.Insert(named.Named, i, added)
		return named, true
	default:
		return t, false
	}
}

// corrected returns n with the time that another process has told, or false if n stays as it is. An assumed time is replaced by the
// earliest possible one. A known time is replaced only by one that is earlier even if the message took no time: if processes that tell
// each other ages added the times of their messages, these would grow with each exchange.
func (n Named) corrected(told toldSince) (Named, bool) {
	switch {
	case n.source == ageAssumed:
		return Named{Version: n.Version, Since: told.earliest, latest: told.latest, source: ageTold}, true
	case n.Since.Sub(told.latest) >= minCorrection:
		return Named{Version: n.Version, Since: told.latest, source: n.source}, true
	default:
		return n, false
	}
}
