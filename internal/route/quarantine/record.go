package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// record is one upstream that crashed before it had answered a request.
type record struct {
	upstream directory.Key
	// parts are the suspected parts in the order of the prompt.
	parts []string
	// request is the key of the request, empty if it is not suspected.
	request string
	// told is true if other processes are told of the crash.
	told bool
	at   time.Time
}

// tellOf makes other processes be told of the crashes under a request, and returns whether there are any of which they were
// not yet.
func (q *Quarantine) tellOf(request string) bool {
	changed := false
	for i := range q.records {
		r := &q.records[i]
		if r.request == request && request != "" && !r.told {
			r.told, changed = true, true
		}
	}
	return changed
}

// selectSuspected returns up to maxSuspected of the parts in the order of the prompt: those that are suspected already,
// then random ones.
func (q *Quarantine) selectSuspected(parts []string) []string {
	if len(parts) <= maxSuspected {
		return parts
	}
	var known, others []int
	for _, at := range rand.Perm(len(parts)) {
		if q.suspected[parts[at]] {
			known = append(known, at)
		} else {
			others = append(others, at)
		}
	}
	chosen := append(known, others...)[:maxSuspected]
	slices.Sort(chosen)
	out := make([]string, len(chosen))
	for i, at := range chosen {
		out[i] = parts[at]
	}
	return out
}

// updateSuspected computes the set of keys in the records.
func (q *Quarantine) updateSuspected() {
	q.suspected = map[string]bool{}
	for _, r := range q.records {
		for _, p := range r.parts {
			q.suspected[p] = true
		}
		if r.request != "" {
			q.suspected[r.request] = true
		}
	}
}

// removeSuspicion removes a key from all records and returns whether other processes have been told of one of them.
func (q *Quarantine) removeSuspicion(key string) bool {
	told := false
	for i := range q.records {
		r := &q.records[i]
		if r.request == key {
			r.request = ""
			told = told || r.told
		}
		before := len(r.parts)
		r.parts = slices.DeleteFunc(r.parts, func(p string) bool { return p == key })
		told = told || len(r.parts) < before
	}
	q.records = slices.DeleteFunc(q.records, func(r record) bool { return r.empty() })
	q.updateSuspected()
	return told
}

// empty reports whether nothing is suspected of the crash.
func (r *record) empty() bool { return len(r.parts) == 0 && r.request == "" }

// add adds a record unless it is empty or known. Of more than maxRecords, the oldest is dropped; one that is older than all others
// is not added, because processes that send each other what they have dropped would tell all others of it each time. It returns
// whether it was added.
func (q *Quarantine) add(r record, now time.Time) bool {
	q.expire(now)
	if r.empty() || slices.ContainsFunc(q.records, r.same) {
		return false
	}
	if len(q.records) >= maxRecords {
		if !r.at.After(q.records[0].at) {
			return false
		}
		q.records = slices.Delete(q.records, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(q.records, r.at, func(r record, at time.Time) int { return r.at.Compare(at) })
	q.records = slices.Insert(q.records, at, r)
	q.updateSuspected()
	return true
}

// same reports whether both records are of one crash under one request. One of them may lack parts that have been cleared.
func (r *record) same(other record) bool {
	return r.upstream == other.upstream && r.request == other.request && (includes(r.parts, other.parts) || includes(other.parts, r.parts))
}

// includes reports whether all of parts are in all.
func includes(all, parts []string) bool {
	return !slices.ContainsFunc(parts, func(p string) bool { return !slices.Contains(all, p) })
}
