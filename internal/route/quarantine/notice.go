package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// maxAge limits the times in received notices.
	maxAge = time.Hour
	// maxCount limits the number of quarantines in received notices. It exceeds what a key reaches, so that each probe raises
	// the number and other processes learn of it.
	maxCount = 1 << 20
	// probeSpread divides the time left of a quarantine that another process has begun to give the maximum by which it ends
	// later here, so that processes let probes through at different times.
	probeSpread = 4
)

const (
	// maxCrashesPerNotice and maxPartsPerNotice are the numbers of items in one notice, so that it fits into a datagram.
	maxCrashesPerNotice = 2
	maxPartsPerNotice   = 8
	// maxUpstreamIdBytes is the maximum length of the ID of an upstream in a notice.
	maxUpstreamIdBytes = 64
)

// Changed returns a channel that is closed when the quarantine has something new to tell other processes.
func (q *Quarantine) Changed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.changed
}

func (q *Quarantine) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// Notices returns what other processes are told, none if nothing is suspected.
func (q *Quarantine) Notices() []hub.QuarantineNotice {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.expire(now)
	var crashes []hub.UpstreamCrash
	for _, r := range q.records {
		if r.told && len(r.upstream.Id) <= maxUpstreamIdBytes {
			crashes = append(crashes, hub.UpstreamCrash{Upstream: r.upstream.Id, Born: r.upstream.Born, Parts: slices.Clone(r.parts), Request: r.request, AgeMilliseconds: now.Sub(r.at).Milliseconds()})
		}
	}
	var quarantined []hub.QuarantinedPart
	for part, p := range q.quarantined {
		quarantined = append(quarantined, hub.QuarantinedPart{Part: part, LeftMilliseconds: p.until.Sub(now).Milliseconds(), Count: p.count})
	}
	var sound []hub.SoundPart
	for part, at := range q.cleared {
		sound = append(sound, hub.SoundPart{Part: part, AgeMilliseconds: now.Sub(at).Milliseconds()})
	}
	return notices(crashes, quarantined, sound)
}

// notices returns notices of one kind of items each that fit into a datagram.
func notices(crashes []hub.UpstreamCrash, quarantined []hub.QuarantinedPart, sound []hub.SoundPart) []hub.QuarantineNotice {
	var out []hub.QuarantineNotice
	for items := range slices.Chunk(quarantined, maxPartsPerNotice) {
		out = append(out, hub.QuarantineNotice{Quarantined: items})
	}
	for items := range slices.Chunk(sound, maxPartsPerNotice) {
		out = append(out, hub.QuarantineNotice{Sound: items})
	}
	for items := range slices.Chunk(crashes, maxCrashesPerNotice) {
		out = append(out, hub.QuarantineNotice{Crashes: items})
	}
	return out
}

// Merge adds what another process knows.
func (q *Quarantine) Merge(n hub.QuarantineNotice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.expire(now)
	for _, s := range n.Sound {
		if at := now.Add(-age(s.AgeMilliseconds)); isKey(s.Part) && now.Sub(at) <= soundTTL {
			q.setSound(s.Part, at)
		}
	}
	added := false
	for _, c := range n.Crashes {
		added = q.mergeCrash(c, now) || added
	}
	for _, s := range n.Quarantined {
		added = q.mergeQuarantined(s, now) || added
	}
	if added {
		q.quarantineSuspects(now)
		q.notify()
	}
}

// mergeCrash adds a crash that another process has seen and returns whether it is new. Parts and requests that are sound
// here are cleared instead.
func (q *Quarantine) mergeCrash(c hub.UpstreamCrash, now time.Time) bool {
	r := record{upstream: directory.Key{Id: c.Upstream, Born: c.Born}, told: true, at: now.Add(-age(c.AgeMilliseconds))}
	if now.Sub(r.at) > crashTTL {
		return false
	}
	for _, p := range c.Parts[:min(len(c.Parts), maxSuspected)] {
		if isKey(p) && !isRequestKey(p) && !q.clearIfSound(p, now) {
			r.parts = append(r.parts, p)
		}
	}
	if isKey(c.Request) && isRequestKey(c.Request) && !q.clearIfSound(c.Request, now) {
		r.request = c.Request
	}
	return q.add(r, now)
}

// clearIfSound tells other processes that a part or a request is sound, and returns whether it is.
func (q *Quarantine) clearIfSound(key string, now time.Time) bool {
	if !q.isSound(key, now) {
		return false
	}
	q.announceSound(key, q.soundOf(key)[key])
	return true
}

// mergeQuarantined adopts another process's quarantine of a part or a request and returns whether that is new here.
func (q *Quarantine) mergeQuarantined(in hub.QuarantinedPart, now time.Time) bool {
	if in.LeftMilliseconds <= 0 || !isKey(in.Part) {
		return false
	}
	if q.clearIfSound(in.Part, now) {
		return false
	}
	count := max(1, min(in.Count, maxCount))
	left := min(age(in.LeftMilliseconds), 2*maxQuarantine)
	until := now.Add(left + rand.N(left/probeSpread+1))
	known := q.quarantined[in.Part]
	if known == nil {
		if len(q.quarantined) >= maxQuarantined {
			return false
		}
		q.quarantined[in.Part] = &period{until: until, count: count}
		q.publish()
		q.options.Log.Warn().Str("Key", in.Part).Time("Until", until).Msg("quarantined by another process")
		return true
	}
	if count > known.count {
		*known = period{until: until, count: count}
		q.publish()
		return true
	}
	return false
}

// Quarantined returns the keys of the parts and requests in quarantine, sorted.
func (q *Quarantine) Quarantined() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Sorted(maps.Keys(q.quarantined))
}

// age returns the duration of a time in a received notice, between 0 and maxAge.
func age(milliseconds int64) time.Duration {
	return time.Duration(max(0, min(milliseconds, maxAge.Milliseconds()))) * time.Millisecond
}
