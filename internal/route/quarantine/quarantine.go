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
	// minCrashes is the number of upstreams that must crash under requests with a part, or under copies of one request,
	// before the part or the request is quarantined.
	minCrashes = 3
	// settleTime is the time after the start for which no part is quarantined by crashes, because none is known to be
	// sound yet.
	settleTime = 3 * time.Second
	// crashTTL is the time for which a crash counts.
	crashTTL = 5 * time.Minute
	// soundTTL is the time for which a part or a request counts as sound after a complete response.
	soundTTL = time.Minute
	// firstQuarantine is the duration of a first quarantine. It doubles with each further one, up to
	// maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 10 * time.Minute
	// maxDoublings is the number of doublings after which the duration exceeds maxQuarantine.
	maxDoublings = 4
	// maxRequestProbes is the number of probes of one request. All its copies are alike, so further ones would show the same.
	maxRequestProbes = 2

	// maxRecords, maxSound and maxQuarantined limit the state, which callers determine. maxSound applies to parts and to
	// requests separately.
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

// Quarantine records under which requests upstreams crashed, and which parts of prompts and which requests are
// quarantined. Both are identified by the keys that KeysOf returns. It is safe for concurrent use.
//
// What crashes upstreams never gets a complete response, so parts and requests that got one lately are not suspected. A part
// is quarantined once minCrashes upstreams have crashed under requests that contain it and no quarantined part, unless
// one request explains all these crashes. Of several parts with equally many crashes, the last in the prompt is quarantined,
// because parts at its beginning are shared by more requests. A request is quarantined once minCrashes upstreams have
// crashed under copies of it.
type Quarantine struct {
	options  Options
	refusals *metrics.Counter
	started  time.Time
	// blocked maps the keys in quarantine to the end of their quarantine. It is replaced at each change, so that Check
	// needs no lock.
	blocked atomic.Pointer[map[string]time.Time]
	// settled is true once the parts that were suspected during settleTime have been counted.
	settled atomic.Bool

	mu sync.Mutex
	// records is sorted by time, the oldest first.
	records []record
	// abandoned is sorted by time, the oldest first.
	abandoned []abandoned
	// suspected is the set of keys in records.
	suspected map[string]bool
	// soundParts and soundRequests map keys to the time of the last complete response.
	soundParts    map[string]time.Time
	soundRequests map[string]time.Time
	// cleared maps keys that other processes suspect to the time of the last complete response seen here.
	cleared     map[string]time.Time
	quarantined map[string]*period
	// changed is closed when there is something new to tell other processes.
	changed chan struct{}
}

// period is the current quarantine of one key.
type period struct {
	until time.Time
	// count is the number of quarantines of the key in a row.
	count int
}

// New returns an empty quarantine and registers its metrics in o.Metrics.
func New(o Options) *Quarantine {
	q := &Quarantine{
		options:       o,
		started:       time.Now(),
		refusals:      o.Metrics.NewCounter("oriolehub_quarantine_refusals_total"),
		soundParts:    map[string]time.Time{},
		soundRequests: map[string]time.Time{},
		cleared:       map[string]time.Time{},
		quarantined:   map[string]*period{},
		changed:       make(chan struct{}),
	}
	q.publish()
	o.Metrics.NewGauge("oriolehub_quarantined_parts", func() float64 { return float64(q.countQuarantined(false)) })
	o.Metrics.NewGauge("oriolehub_quarantined_requests", func() float64 { return float64(q.countQuarantined(true)) })
	return q
}

// countQuarantined returns the number of requests in quarantine, or that of parts.
func (q *Quarantine) countQuarantined(requests bool) int {
	n := 0
	for key := range *q.blocked.Load() {
		if isRequestKey(key) == requests {
			n++
		}
	}
	return n
}

// publish makes the keys in quarantine visible to Check.
func (q *Quarantine) publish() {
	blocked := make(map[string]time.Time, len(q.quarantined))
	for key, current := range q.quarantined {
		blocked[key] = current.until
	}
	q.blocked.Store(&blocked)
}

// Decision tells whether a request may be sent.
type Decision struct {
	// Key is the key of the request or of one of its parts that is quarantined, empty if none is.
	Key string
	// Left is the time until the quarantine ends, 0 if the request is let through as a probe.
	Left time.Duration
}

// Blocked reports whether the request must not be sent.
func (d Decision) Blocked() bool { return d.Left > 0 }

// Probe reports whether the request is sent to find out whether upstreams still crash under it.
func (d Decision) Probe() bool { return d.Key != "" && d.Left == 0 }

// Check returns the decision on a request. Once the quarantine of a key has ended, one request is let through as a probe,
// and the quarantine starts anew for twice the time unless the probe gets a complete response. After maxRequestProbes, a
// request stays in quarantine until no copy of it has come for maxQuarantine.
func (q *Quarantine) Check(k *Keys) Decision {
	now := time.Now()
	if !q.settled.Load() && now.Sub(q.started) >= settleTime {
		q.settle(now)
	}
	blocked := *q.blocked.Load()
	if len(blocked) == 0 {
		return Decision{}
	}
	ended := ""
	for _, key := range k.list() {
		until, ok := blocked[key]
		if ok && now.Before(until) {
			return Decision{Key: key, Left: until.Sub(now)}
		}
		if ok {
			ended = key
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

// startProbe starts the next quarantine of a key and lets a request through, unless another one has just been let through or
// the probes of the key are used up.
func (q *Quarantine) startProbe(key string, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.quarantined[key]
	if current == nil {
		return Decision{}
	}
	if now.Before(current.until) {
		return Decision{Key: key, Left: current.until.Sub(now)}
	}
	exhausted := isRequestKey(key) && current.count > maxRequestProbes
	current.extend(now)
	q.publish()
	if exhausted {
		q.options.Log.Info().Str("Key", key).Time("Until", current.until).Msg("quarantine extended without a probe, because earlier ones were not answered")
		return Decision{Key: key, Left: current.until.Sub(now)}
	}
	q.notify()
	q.options.Log.Info().Str("Key", key).Int("Quarantines", current.count).Msg("quarantine ended, letting one request through")
	return Decision{Key: key}
}

// Refused counts a request that was not sent because of its decision.
func (q *Quarantine) Refused() { q.refusals.Inc() }

// extend starts the next quarantine. Its duration is random, so that processes let probes through at different times and
// the crash of one extends the quarantine at the others.
func (p *period) extend(now time.Time) {
	d := min(maxQuarantine, firstQuarantine<<min(p.count, maxDoublings))
	p.count++
	p.until = now.Add(d + rand.N(d/2))
}

// Suspects reports whether the crash of an upstream under a request would raise a suspicion.
func (q *Quarantine) Suspects(k *Keys) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(k.list(), func(key string) bool { return !q.isSound(key, now) })
}

// Suspected reports whether an upstream has crashed under a copy of a request that no upstream has answered.
func (q *Quarantine) Suspected(k *Keys) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return k.Request != "" && q.suspected[k.Request]
}

// Crashed records that an upstream crashed before it had answered a request. Other processes are told at once, but if only
// the request is suspected and none of its parts, at its second crash or when Unanswered is called: most requests whose
// upstream crashes are answered by another one.
func (q *Quarantine) Crashed(upstream directory.Key, k *Keys) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := record{upstream: upstream, at: now}
	r.parts = q.selectSuspected(slices.DeleteFunc(slices.Clone(k.Parts), func(p string) bool { return q.isSound(p, now) }))
	if k.Request != "" && !q.isSound(k.Request, now) {
		r.request = k.Request
	}
	r.told = len(r.parts) > 0
	repeated := q.suspected[r.request]
	if !q.add(r, now) {
		return
	}
	q.options.Log.Warn().Str("Upstream", upstream.Id).Strs("Parts", r.parts).Str("Request", r.request).Msg("upstream lost under a request; parts and request that no upstream has answered are suspected")
	if repeated {
		q.tellOf(r.request)
	}
	q.quarantineSuspects(now)
	if r.told || repeated {
		q.notify()
	}
}

// Unanswered records that a request under which an upstream has crashed has ended without a complete response.
func (q *Quarantine) Unanswered(k *Keys) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tellOf(k.Request) {
		q.notify()
	}
}

// Completed records a complete response to a request, which ends the suspicion of it and of its parts.
func (q *Quarantine) Completed(k *Keys) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for i, p := range k.Parts {
		if i < maxRemembered || q.suspected[p] || q.quarantined[p] != nil {
			q.setSound(p, now)
		}
	}
	if k.Request != "" {
		q.setSound(k.Request, now)
	}
}

// expire removes the records and clearances that no longer count and the quarantines that ended long ago.
func (q *Quarantine) expire(now time.Time) {
	before := len(q.records)
	q.records = slices.DeleteFunc(q.records, func(r record) bool { return now.Sub(r.at) > crashTTL })
	if len(q.records) < before {
		q.updateSuspected()
	}
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

// quarantineSuspects quarantines the parts and requests under which enough upstreams have crashed, parts only if the process
// has not just started.
func (q *Quarantine) quarantineSuspects(now time.Time) {
	for len(q.quarantined) < maxQuarantined {
		c := q.countCrashes()
		key, upstreams := "", 0
		if now.Sub(q.started) >= settleTime {
			key, upstreams = c.mostUnderPart()
		}
		if upstreams < minCrashes {
			key, upstreams = c.mostUnderRequest(q.quarantined)
		}
		if upstreams < minCrashes {
			return
		}
		first := &period{}
		first.extend(now)
		q.quarantined[key] = first
		q.publish()
		q.options.Log.Warn().Str("Key", key).Int("Upstreams", upstreams).Time("Until", first.until).Msg("quarantined: upstreams crash under the request, or under requests that contain the part")
	}
}
