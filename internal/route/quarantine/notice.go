package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// maxAge limits the times in received notices.
	maxAge = time.Hour
	// maxCount limits the number of quarantines in received notices.
	maxCount = 16
)

// maxPerNotice is the number of items of each kind in one notice, so that it fits into a datagram.
const maxPerNotice = 4

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

// Notices returns all that the quarantine knows, none if nothing is suspected.
func (q *Quarantine) Notices() []hub.QuarantineNotice {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.expire(now)
	var all hub.QuarantineNotice
	for part, s := range q.quarantined {
		all.Quarantined = append(all.Quarantined, hub.QuarantinedPart{Part: part, LeftMilliseconds: s.until.Sub(now).Milliseconds(), Count: s.count})
	}
	for part, at := range q.cleared {
		all.Sound = append(all.Sound, hub.SoundPart{Part: part, AgeMilliseconds: now.Sub(at).Milliseconds()})
	}
	for _, r := range q.records {
		all.Crashes = append(all.Crashes, hub.UpstreamCrash{Upstream: r.upstream.Id, Born: r.upstream.Born, Parts: slices.Clone(r.parts), AgeMilliseconds: now.Sub(r.at).Milliseconds()})
	}
	return split(&all)
}

// split returns notices with up to maxPerNotice items of each kind.
func split(n *hub.QuarantineNotice) []hub.QuarantineNotice {
	var out []hub.QuarantineNotice
	at := func(i int) *hub.QuarantineNotice {
		if i == len(out) {
			out = append(out, hub.QuarantineNotice{})
		}
		return &out[i]
	}
	i := 0
	for items := range slices.Chunk(n.Quarantined, maxPerNotice) {
		at(i).Quarantined = items
		i++
	}
	i = 0
	for items := range slices.Chunk(n.Sound, maxPerNotice) {
		at(i).Sound = items
		i++
	}
	i = 0
	for items := range slices.Chunk(n.Crashes, maxPerNotice) {
		at(i).Crashes = items
		i++
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
		if at := now.Add(-age(s.AgeMilliseconds)); !tooLong(s.Part) && now.Sub(at) <= soundTTL {
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

// mergeCrash adds a crash that another process has seen and returns whether it is new. Parts that are sound here are
// cleared instead.
func (q *Quarantine) mergeCrash(c hub.UpstreamCrash, now time.Time) bool {
	r := record{upstream: directory.Key{Id: c.Upstream, Born: c.Born}, at: now.Add(-age(c.AgeMilliseconds))}
	if now.Sub(r.at) > crashTTL {
		return false
	}
	for _, p := range considered(c.Parts) {
		if q.isSound(p, now) {
			q.announceSound(p, q.sound[p])
			continue
		}
		r.parts = append(r.parts, p)
	}
	return q.add(r, now)
}

// mergeQuarantined adopts another process's quarantine of a part and returns whether that is new here.
func (q *Quarantine) mergeQuarantined(in hub.QuarantinedPart, now time.Time) bool {
	if in.LeftMilliseconds <= 0 || tooLong(in.Part) {
		return false
	}
	if q.isSound(in.Part, now) {
		q.announceSound(in.Part, q.sound[in.Part])
		return false
	}
	count := max(1, min(in.Count, maxCount))
	until := now.Add(min(age(in.LeftMilliseconds), 2*maxQuarantine))
	known := q.quarantined[in.Part]
	if known == nil {
		if len(q.quarantined) >= maxQuarantined {
			return false
		}
		q.quarantined[in.Part] = &period{until: until, count: count}
		q.publish()
		q.options.Log.Warn().Str("Part", in.Part).Time("Until", until).Msg("part quarantined by another process")
		return true
	}
	if count > known.count {
		*known = period{until: until, count: count}
		q.publish()
		return true
	}
	return false
}

// Parts returns the parts in quarantine, sorted.
func (q *Quarantine) Parts() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Sorted(maps.Keys(q.quarantined))
}

// age returns the duration of a time in a received notice, between 0 and maxAge.
func age(milliseconds int64) time.Duration {
	return time.Duration(max(0, min(milliseconds, maxAge.Milliseconds()))) * time.Millisecond
}
