package concurrency

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// updateInterval is the interval at which the references are computed again from the times of all peers.
// With many peers it is perPeer for each, so that an update takes less than a hundredth of a core.
const (
	updateInterval = 250 * time.Millisecond
	perPeer        = 100 * time.Microsecond
)

// minPeers is the minimum number of upstreams of which the majority shows whether single ones are slow.
const minPeers = 3

// Peers are the upstreams of one service in one region. Those of other regions are further away, so that their times do
// not compare. It is safe for concurrent use.
type Peers struct {
	settings Settings
	monitor  *Monitor
	// countEntries returns the number of entry processes; entries is its latest result.
	countEntries func() int
	entries      atomic.Int64
	members      atomic.Pointer[[]*Limiter]
	// held is the number of members below their slots at the last update.
	held    atomic.Int64
	created time.Time
	// updateAt is the time of the next update, in nanoseconds since created.
	updateAt atomic.Int64
	// mu is held during an update; ranked is its buffer.
	mu     sync.Mutex
	ranked []rank
}

// rank is a value of one member, for sorting.
type rank struct {
	value  float64
	member *Limiter
}

// NewPeers returns Peers without members. entries returns the number of entry processes.
func NewPeers(s Settings, m *Monitor, entries func() int) *Peers {
	p := &Peers{settings: s, monitor: m, countEntries: entries, created: time.Now()}
	p.entries.Store(1)
	p.members.Store(&[]*Limiter{})
	return p
}

// SetMembers replaces the members.
func (p *Peers) SetMembers(members []*Limiter) {
	p.members.Store(&members)
	p.countHeld()
}

// countHeld counts the members below their slots.
func (p *Peers) countHeld() {
	held := int64(0)
	for _, l := range *p.members.Load() {
		if l.Held() {
			held++
		}
	}
	p.held.Store(held)
}

// mostHeld reports whether more than half of the members are below their slots, in which case the cause is the whole service
// or this process. It returns false for fewer than minPeers members.
func (p *Peers) mostHeld() bool {
	members := len(*p.members.Load())
	return members >= minPeers && 2*p.held.Load() > int64(members)
}

// update computes the references of all members again if updateInterval has passed.
func (p *Peers) update(now time.Time) {
	at := p.at(now)
	due := p.updateAt.Load()
	if at < due || !p.updateAt.CompareAndSwap(due, at+int64(max(updateInterval, time.Duration(len(*p.members.Load()))*perPeer))) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries.Store(int64(max(1, p.countEntries())))
	p.countHeld()
	p.updateReference(func(l *Limiter) (float64, bool) { return l.latencyLevel(now) }, func(l *Limiter, v float64) { l.latency.reference.Store(v) })
	p.updateReference(func(l *Limiter) (float64, bool) { return l.intervalLevel(now) }, func(l *Limiter, v float64) { l.interval.reference.Store(v) })
	p.updateReference(func(l *Limiter) (float64, bool) { return l.reportedPace(now) }, func(l *Limiter, v float64) { l.paceReference.Store(v) })
}

// updateReference sets the reference of each member to the median of the values of the other members, to -1 if there are
// none. So a member is slow only if it is slower than most others, and nothing is slow in an overload of the whole service.
func (p *Peers) updateReference(value func(*Limiter) (float64, bool), set func(*Limiter, float64)) {
	p.ranked = p.ranked[:0]
	for _, l := range *p.members.Load() {
		if v, ok := value(l); ok {
			p.ranked = append(p.ranked, rank{value: v, member: l})
		} else {
			p.ranked = append(p.ranked, rank{value: -1, member: l})
		}
	}
	slices.SortFunc(p.ranked, func(a, b rank) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		default:
			return 0
		}
	})
	without := 0
	for without < len(p.ranked) && p.ranked[without].value < 0 {
		without++
	}
	known := p.ranked[without:]
	for _, r := range p.ranked[:without] {
		set(r.member, medianWithout(known, -1))
	}
	for i, r := range known {
		set(r.member, medianWithout(known, i))
	}
}

// medianWithout returns the median of the sorted values except that with the given index, the higher one of two; -1 if
// there are no others. If index is -1, no value is left out.
func medianWithout(sorted []rank, index int) float64 {
	if index < 0 {
		if len(sorted) == 0 {
			return -1
		}
		return sorted[len(sorted)/2].value
	}
	if len(sorted) < 2 {
		return -1
	}
	middle := (len(sorted) - 1) / 2
	if index <= middle {
		middle++
	}
	return sorted[middle].value
}

// at returns a time in nanoseconds since created.
func (p *Peers) at(t time.Time) int64 { return int64(t.Sub(p.created)) }
