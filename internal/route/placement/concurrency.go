package placement

import (
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// freshAge is the age up to which an instance that is already listed when this process starts is taken for new. It
// exceeds the time in which the limit of a healthy instance reaches all of its slots.
const freshAge = 20 * time.Second

// settleTime is the time after the first upstream of a service has been listed in which others that are listed are not
// taken for new only because of that: a process that starts receives the list in parts.
const settleTime = 3 * time.Second

// peersKey identifies the upstreams whose times are compared with each other.
type peersKey struct{ service, region string }

// peersOf returns the Peers of an upstream.
func (p *Placement) peersOf(u *directory.Upstream) *concurrency.Peers {
	key := peersKey{service: u.Service, region: u.Region}
	peers := p.peers[key]
	if peers == nil {
		peers = concurrency.NewPeers(p.options.Concurrency, p.monitor, p.options.Entries)
		p.peers[key] = peers
	}
	return peers
}

// load returns the Load of a listed upstream, a new one if known has none.
func (p *Placement) load(known map[directory.Key]*Load, s *directory.Service, u *directory.Upstream) *Load {
	slots := p.limit(s, u)
	if l := known[u.Key()]; l != nil {
		l.limiter.SetSlots(slots)
		return l
	}
	return newLoad(p.peersOf(u).NewLimiter(u.Id, slots, p.fresh(u)))
}

// fresh reports whether an upstream that this process has not known before may have started a short time ago. What is
// listed when this process starts is judged by the time of its start.
func (p *Placement) fresh(u *directory.Upstream) bool {
	if since, ok := p.listed[u.Service]; ok && time.Since(since) > settleTime {
		return true
	}
	return time.Since(time.UnixMilli(u.Born)) < freshAge || time.Now().Before(u.ColdUntil)
}

// setPeers makes the limiters of all listed upstreams members of their Peers, and drops the Peers without members.
func (p *Placement) setPeers(s *directory.Snapshot, loads map[directory.Key]*Load) {
	members := make(map[peersKey][]*concurrency.Limiter, len(p.peers))
	for name, service := range s.Services() {
		if _, ok := p.listed[name]; !ok && len(service.Upstreams) > 0 {
			p.listed[name] = time.Now()
		}
		for _, u := range service.Upstreams {
			key := peersKey{service: u.Service, region: u.Region}
			members[key] = append(members[key], loads[u.Key()].limiter)
		}
	}
	for key, peers := range p.peers {
		peers.SetMembers(members[key])
		if len(members[key]) == 0 {
			delete(p.peers, key)
		}
	}
}

// belowSlots returns the number of upstreams that get fewer requests than their slots.
func (p *Placement) belowSlots() int {
	n := 0
	for _, l := range *p.loads.Load() {
		if l.limiter.Held() {
			n++
		}
	}
	return n
}

// Failed records a failure: the upstream is chosen only if there is no other, for a time that grows with each consecutive
// failure, and is then sent fewer requests.
func (l *Load) Failed() {
	l.availability.Failed()
	l.limiter.Failed()
}

// Unreachable records a failure like Failed, of an upstream whose address refused a connection: it is chosen only if the others, with
// or without room, are so too.
func (l *Load) Unreachable() {
	l.availability.Unreachable()
	l.limiter.Failed()
}

// reported passes the report that follows previous to the limiter.
func (l *Load) reported(r, previous *timedReport) {
	report := concurrency.Report{InFlight: r.Running + r.Waiting, Waiting: r.Waiting, Total: l.total(), Pace: r.Pace}
	if previous != nil {
		report.Loaded = previous.Busy && !r.Busy || previous.Held != r.Held
		if silence := r.at.Sub(previous.at); silence > maxReportAge {
			report.Silence = silence
		}
	}
	l.limiter.Reported(report)
}

// ResponseArrived must be called with the first event of a stream, and when another response is complete: the upstream's
// limit of requests in flight follows from the time that it took. Further calls have no effect.
func (c *Choice) ResponseArrived() {
	c.ResponseStarted()
	if c.arrived || c.placement == nil {
		return
	}
	c.arrived = true
	if c.Load.limiter.FirstEvent(time.Since(c.chosenAt), c.explained) {
		c.placement.wake(c.Upstream.Service)
	}
}

// ResponseCompleted must be called when a response that is not a stream is complete. The time of one from an engine is not
// compared with others, because it depends on its length.
func (c *Choice) ResponseCompleted() {
	if c.pendingTokens == 0 {
		c.ResponseArrived()
		return
	}
	c.Load.limiter.Succeeded()
}

// IntervalPassed must be called with the mean interval between the latest events of a stream.
func (c *Choice) IntervalPassed(mean time.Duration) { c.Load.limiter.Interval(mean) }

// modelTime returns the time that the upstream takes by its model to process the prompts that this process has sent
// and those of others that wait there.
func (l *Load) modelTime(e *hub.EngineModel) time.Duration {
	return time.Duration(l.waitingTokens(e, 1) / e.ReadPerSecond * float64(time.Second))
}
