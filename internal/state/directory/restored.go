package directory

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// restoreGrace is the time after the store was restored in which its writers are expected to have written again what
	// it has lost.
	restoreGrace = 3 * time.Second
	// staleGrace is the time after that in which the store is expected to have removed the entries of upstreams that have
	// left. Until then an entry of the copy may be older than what is known.
	staleGrace = 10 * time.Second
	// expiryGrace is the time after the return of the store in which upstreams whose entries expired during its outage are expected
	// to have written them again. It is less than the time for which one that has left still serves.
	expiryGrace = 1800 * time.Millisecond
	// goneTTL is the time for which an upstream that is no longer listed is remembered.
	goneTTL = time.Minute
)

// documentEra is the era of the store from which a document was read last.
type documentEra struct {
	era uint64
	// known is true once a document has been applied.
	known bool
	// since is the time at which the first document of the era was applied, zero if there was none of an earlier era.
	since time.Time
}

// observe records the era of a document that is applied.
func (e *documentEra) observe(revision uint64, now time.Time) {
	era := hub.EraOf(revision)
	if e.known && era > e.era {
		e.since = now
	}
	e.era, e.known = max(e.era, era), true
}

// mayLack reports whether the restored store may have lost what was last seen at a revision, and its writer may still write
// it again.
func (e *documentEra) mayLack(seen uint64, now time.Time) bool {
	return hub.EraOf(seen) < e.era && now.Sub(e.since) < restoreGrace
}

// restoredWithin reports whether the store was restored less than d ago.
func (e *documentEra) restoredWithin(d time.Duration, now time.Time) bool {
	return !e.since.IsZero() && now.Sub(e.since) < d
}

// storeReturn is the last return of the store after an outage.
type storeReturn struct {
	// revision is that of mirror.DocumentReturn.
	revision uint64
	// at is the time at which the return was told, zero if that was before the first list of upstreams.
	at time.Time
}

// observe records a return that is told at the time now, if it is a later one. listed is true once a list of upstreams has been
// applied.
func (r *storeReturn) observe(revision uint64, now time.Time, listed bool) {
	if revision <= r.revision {
		return
	}
	r.revision = revision
	if listed {
		r.at = now
	}
}

// mayLack reports whether the entry of an upstream may have expired because of the outage, and may still be written again. Entries
// expire during the outage or shortly after it.
func (r *storeReturn) mayLack(now time.Time) bool { return now.Sub(r.at) < expiryGrace }

// lastRun is the newest known run of an upstream.
type lastRun struct {
	instance hub.Instance
	// seen is the revision of the last list that had an entry of the upstream.
	seen uint64
	// goneAt is the time from which on the upstream is not listed, zero while it is.
	goneAt time.Time
}

func (r *lastRun) gone() bool { return !r.goneAt.IsZero() }

// newerThan reports whether the run is known by a newer entry than i, or has left since it wrote i.
func (r *lastRun) newerThan(i *hub.Instance) bool {
	if r.instance.Born != i.Born {
		return r.instance.Born > i.Born
	}
	return r.instance.Sequence > i.Sequence || r.gone() && r.instance.Sequence == i.Sequence
}

// newestOf returns what is known of an upstream with the listed entry i, or false if it has left. After the store was
// restored from a copy, its entries may be older than what is known.
func (d *Directory) newestOf(i hub.Instance, revision uint64, now time.Time) (hub.Instance, bool) {
	known, ok := d.runs[i.Id]
	restored := d.upstreamsEra.restoredWithin(staleGrace, now)
	if ok && restored && known.newerThan(&i) {
		d.recheckBy(d.upstreamsEra.since.Add(staleGrace))
		d.logStale(&i, &known, revision)
		if !known.gone() {
			d.runs[i.Id] = lastRun{instance: known.instance, seen: revision}
		}
		return known.instance, !known.gone()
	}
	if ok && !d.upstreamsEra.since.IsZero() && known.instance.Born == i.Born {
		i.Leaving = i.Leaving || known.instance.Leaving
	}
	d.runs[i.Id] = lastRun{instance: i, seen: revision}
	return i, true
}

// logStale logs an entry of a copy of the store that is older than what is known, once for each revision of the list.
func (d *Directory) logStale(i *hub.Instance, known *lastRun, revision uint64) {
	if d.rejected[i.Id] == revision {
		return
	}
	d.rejected[i.Id] = revision
	d.options.Log.Warn().Str("Upstream", i.Id).Int64("Born", i.Born).Uint64("Sequence", i.Sequence).Int64("KnownBorn", known.instance.Born).
		Uint64("KnownSequence", known.instance.Sequence).Bool("Gone", known.gone()).Msg("restored store has an older entry of the upstream, ignoring it")
}

// notWrittenAgain returns the upstreams that the list of the given revision lacks and that the restored store may have
// lost, or whose entries may have expired because of an outage of it. All other missing ones are gone.
func (d *Directory) notWrittenAgain(revision uint64, now time.Time) []hub.Instance {
	var out []hub.Instance
	for id, r := range d.runs {
		switch {
		case r.seen == revision:
		case !r.gone() && d.upstreamsEra.mayLack(r.seen, now):
			out = append(out, r.instance)
			d.recheckBy(d.upstreamsEra.since.Add(restoreGrace))
		case !r.gone() && d.storeReturn.mayLack(now):
			out = append(out, r.instance)
			d.recheckBy(d.storeReturn.at.Add(expiryGrace))
		case !r.gone():
			r.goneAt = now
			d.runs[id] = r
		case now.Sub(r.goneAt) > goneTTL:
			delete(d.runs, id)
		}
	}
	return out
}
