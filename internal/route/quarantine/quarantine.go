package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// minCrashes is the number of upstreams that must crash under requests with a part before it is quarantined.
	minCrashes = 3
	// settleTime is the time after the start for which no part is quarantined by crashes, because none is known to be
	// sound yet.
	settleTime = 3 * time.Second
	// crashTTL is the time for which a crash counts.
	crashTTL = 5 * time.Minute
	// soundTTL is the time for which a part counts as sound after a complete response to a request that contains it.
	soundTTL = time.Minute
	// firstQuarantine is the duration of a part's first quarantine. It doubles with each further one, up to
	// maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 10 * time.Minute

	// maxRecords, maxSound and maxQuarantined limit the state, which callers determine.
	maxRecords     = 128
	maxSound       = 4096
	maxQuarantined = 64
	// maxRemembered is the number of parts of one request that are remembered as sound although none is suspected.
	maxRemembered = 64
	// maxSuspected is the maximum number of parts in one record.
	maxSuspected = 8
)

// Options are the dependencies of a Quarantine.
type Options struct {
	Log     *log.Logger
	Metrics *metrics.Set
}

// Quarantine records which parts of prompts the requests had under which upstreams crashed, and which parts are
// quarantined. Parts are identified by the keys that Keys returns. It is safe for concurrent use.
//
// A request with a part that crashes upstreams never gets a complete response, so the parts of requests that got one
// lately are not suspected. A part is quarantined once minCrashes upstreams have crashed under requests that contain it
// and no quarantined part. Of several parts with equally many crashes, the last in the prompt is quarantined, because
// parts at its beginning are shared by more requests.
type Quarantine struct {
	options  Options
	refusals *metrics.Counter
	started  time.Time
	// blocked maps the parts in quarantine to the end of their quarantine. It is replaced at each change, so that Check
	// needs no lock.
	blocked atomic.Pointer[map[string]time.Time]
	// settled is true once the parts that were suspected during settleTime have been counted.
	settled atomic.Bool

	mu sync.Mutex
	// records is sorted by time, the oldest first.
	records []record
	// sound maps parts to the time of the last complete response.
	sound map[string]time.Time
	// cleared maps parts that other processes suspect to the time of the last complete response seen here.
	cleared     map[string]time.Time
	quarantined map[string]*period
	// changed is closed when there is something new to tell other processes.
	changed chan struct{}
}

// record is one upstream that crashed before it had answered a request with the given parts.
type record struct {
	upstream directory.Key
	// parts are the suspected parts in the order of the prompt.
	parts []string
	at    time.Time
}

// period is the current quarantine of one part.
type period struct {
	until time.Time
	// count is the number of quarantines of the part in a row.
	count int
}

// New returns an empty quarantine and registers its metrics in o.Metrics.
func New(o Options) *Quarantine {
	q := &Quarantine{
		options:     o,
		started:     time.Now(),
		refusals:    o.Metrics.NewCounter("oriolehub_quarantine_refusals_total"),
		sound:       map[string]time.Time{},
		cleared:     map[string]time.Time{},
		quarantined: map[string]*period{},
		changed:     make(chan struct{}),
	}
	q.publish()
	o.Metrics.NewGauge("oriolehub_quarantined_parts", func() float64 {
		return float64(len(*q.blocked.Load()))
	})
	return q
}

// publish makes the parts in quarantine visible to Check.
func (q *Quarantine) publish() {
	blocked := make(map[string]time.Time, len(q.quarantined))
	for part, current := range q.quarantined {
		blocked[part] = current.until
	}
	q.blocked.Store(&blocked)
}

// Decision tells whether a request may be sent.
type Decision struct {
	// Part is the quarantined part of the request, empty if it has none.
	Part string
	// Left is the time until the quarantine ends, 0 if the request is let through as a probe.
	Left time.Duration
}

// Blocked reports whether the request must not be sent.
func (d Decision) Blocked() bool { return d.Left > 0 }

// Probe reports whether the request is sent to find out whether its part still crashes upstreams.
func (d Decision) Probe() bool { return d.Part != "" && d.Left == 0 }

// Check returns the decision on a request with the given parts. Once the quarantine of a part has ended, one request is
// let through as a probe, and the quarantine starts anew for twice the time unless the probe gets a complete response.
func (q *Quarantine) Check(parts []string) Decision {
	now := time.Now()
	if !q.settled.Load() && now.Sub(q.started) >= settleTime {
		q.settle(now)
	}
	blocked := *q.blocked.Load()
	if len(blocked) == 0 {
		return Decision{}
	}
	ended := ""
	for _, p := range parts {
		until, ok := blocked[p]
		if ok && now.Before(until) {
			return Decision{Part: p, Left: until.Sub(now)}
		}
		if ok {
			ended = p
		}
	}
	if ended == "" {
		return Decision{}
	}
	return q.startProbe(ended, now)
}

// settle quarantines the parts that were suspected during settleTime.
func (q *Quarantine) settle(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settled.Store(true)
	q.quarantineSuspects(now)
}

// startProbe lets a request through and starts the next quarantine of its part, unless another request has just done so.
func (q *Quarantine) startProbe(part string, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.quarantined[part]
	if current == nil {
		return Decision{}
	}
	if now.Before(current.until) {
		return Decision{Part: part, Left: current.until.Sub(now)}
	}
	current.extend(now)
	q.publish()
	q.options.Log.Info().Str("Part", part).Int("Quarantines", current.count).Msg("quarantine ended, letting one request through")
	return Decision{Part: part}
}

// Refused counts a request that was not sent because of its decision.
func (q *Quarantine) Refused() { q.refusals.Inc() }

// extend starts the next quarantine. Its duration is random, so that processes let probes through at different times and
// the crash of one extends the quarantine at the others.
func (p *period) extend(now time.Time) {
	d := min(maxQuarantine, firstQuarantine<<min(p.count, maxCount))
	p.count++
	p.until = now.Add(d + rand.N(d/2))
}

// Suspects reports whether the crash of an upstream under a request with the given parts would raise a suspicion.
func (q *Quarantine) Suspects(parts []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(parts, func(p string) bool { return !q.isSound(p, now) })
}

// Crashed records that an upstream crashed before it had answered a request with the given parts.
func (q *Quarantine) Crashed(upstream directory.Key, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	suspected := q.selectSuspected(slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return q.isSound(p, now) }))
	if q.add(record{upstream: upstream, parts: suspected, at: now}, now) {
		q.options.Log.Warn().Str("Upstream", upstream.Id).Strs("Parts", suspected).Msg("upstream lost under a request with parts that no upstream has answered")
		q.quarantineSuspects(now)
		q.notify()
	}
}

// selectSuspected returns up to maxSuspected of the parts in the order of the prompt: those that are suspected already,
// then random ones.
func (q *Quarantine) selectSuspected(parts []string) []string {
	if len(parts) <= maxSuspected {
		return parts
	}
	suspects := q.suspects()
	var known, others []int
	for _, at := range rand.Perm(len(parts)) {
		if suspects[parts[at]] {
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

// Completed records a complete response to a request with the given parts, which ends the suspicion of them.
func (q *Quarantine) Completed(parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	suspects := q.suspects()
	for i, p := range parts {
		if i < maxRemembered || suspects[p] || q.quarantined[p] != nil {
			q.setSound(p, now)
		}
	}
}

// setSound records a complete response at the given time to a request with a part.
func (q *Quarantine) setSound(part string, at time.Time) {
	if at.Before(q.sound[part]) {
		return
	}
	if _, ok := q.sound[part]; !ok && len(q.sound) >= maxSound {
		q.dropSound(at)
	}
	q.sound[part] = at
	if q.quarantined[part] == nil && !q.suspects()[part] {
		return
	}
	if q.quarantined[part] != nil {
		delete(q.quarantined, part)
		q.publish()
		q.options.Log.Info().Str("Part", part).Msg("part answered completely, quarantine lifted")
	}
	q.removeSuspicion(part)
	q.announceSound(part, at)
}

// dropSound removes the expired parts from sound, and any others until a quarter of the room is free.
func (q *Quarantine) dropSound(now time.Time) {
	for p, at := range q.sound {
		if now.Sub(at) > soundTTL {
			delete(q.sound, p)
		}
	}
	for p := range q.sound {
		if len(q.sound) <= maxSound*3/4 {
			return
		}
		delete(q.sound, p)
	}
}

// announceSound tells other processes that a part is sound.
func (q *Quarantine) announceSound(part string, at time.Time) {
	_, known := q.cleared[part]
	if !known && len(q.cleared) >= maxQuarantined {
		return
	}
	q.cleared[part] = at
	if !known {
		q.notify()
	}
}

func (q *Quarantine) isSound(part string, now time.Time) bool {
	at, ok := q.sound[part]
	return ok && now.Sub(at) <= soundTTL
}

// suspects returns the set of parts in the records.
func (q *Quarantine) suspects() map[string]bool {
	out := map[string]bool{}
	for _, r := range q.records {
		for _, p := range r.parts {
			out[p] = true
		}
	}
	return out
}

// removeSuspicion removes a part from the suspected parts of all records.
func (q *Quarantine) removeSuspicion(part string) {
	for i := range q.records {
		q.records[i].parts = slices.DeleteFunc(q.records[i].parts, func(p string) bool { return p == part })
	}
	q.records = slices.DeleteFunc(q.records, func(r record) bool { return len(r.parts) == 0 })
}

// add adds a record unless it has no parts or is known. It returns whether it was added.
func (q *Quarantine) add(r record, now time.Time) bool {
	q.expire(now)
	if len(r.parts) == 0 || slices.ContainsFunc(q.records, r.same) {
		return false
	}
	if len(q.records) >= maxRecords {
		q.records = slices.Delete(q.records, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(q.records, r.at, func(r record, at time.Time) int { return r.at.Compare(at) })
	q.records = slices.Insert(q.records, at, r)
	return true
}

func (r *record) same(other record) bool {
	return r.upstream == other.upstream && slices.Equal(r.parts, other.parts)
}

// expire removes the records and clearances that no longer count and the quarantines that ended long ago.
func (q *Quarantine) expire(now time.Time) {
	q.records = slices.DeleteFunc(q.records, func(r record) bool { return now.Sub(r.at) > crashTTL })
	for p, at := range q.cleared {
		if now.Sub(at) > soundTTL {
			delete(q.cleared, p)
		}
	}
	for p, current := range q.quarantined {
		if now.Sub(current.until) > maxQuarantine {
			delete(q.quarantined, p)
			q.publish()
		}
	}
}

// quarantineSuspects quarantines the parts under which enough upstreams have crashed, unless the process has just started.
func (q *Quarantine) quarantineSuspects(now time.Time) {
	for now.Sub(q.started) >= settleTime && len(q.quarantined) < maxQuarantined {
		part, upstreams := q.mostCrashes()
		if upstreams < minCrashes {
			return
		}
		first := &period{}
		first.extend(now)
		q.quarantined[part] = first
		q.publish()
		q.options.Log.Warn().Str("Part", part).Int("Upstreams", upstreams).Time("Until", first.until).Msg("part quarantined: upstreams crash under requests that contain it")
	}
}

// mostCrashes returns the suspected part under which most upstreams crashed, without the requests that also contain
// a quarantined part, and the number of these upstreams. Of parts with the same number, it returns the last in its prompt.
func (q *Quarantine) mostCrashes() (part string, upstreams int) {
	crashed := map[string]map[directory.Key]bool{}
	position := map[string]int{}
	for _, r := range q.records {
		if slices.ContainsFunc(r.parts, func(p string) bool { return q.quarantined[p] != nil }) {
			continue
		}
		for i, p := range r.parts {
			if crashed[p] == nil {
				crashed[p] = map[directory.Key]bool{}
			}
			crashed[p][r.upstream] = true
			position[p] = max(position[p], i)
		}
	}
	for p, keys := range crashed {
		if len(keys) > upstreams || len(keys) == upstreams && position[p] > position[part] {
			part, upstreams = p, len(keys)
		}
	}
	return part, upstreams
}
