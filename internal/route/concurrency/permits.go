package concurrency

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// permitInterval is the time after which a process may send a request to a limited upstream without a new report.
	// Reports arrive several times in this time.
	permitInterval = 300 * time.Millisecond
	// permitFactor times its part of the room is what a process may send until the next report. Not every process has a
	// request for the upstream before the next report.
	permitFactor = 2
)

// permits limits the requests that one process sends to a limited upstream between two of its reports. Until the next
// report no process sees what the others send; without this limit each of dozens would use all of the room. It is safe for
// concurrent use.
type permits struct {
	// granted is the number of requests that may be sent since the last grant, sent the number of those that were.
	granted atomic.Int64
	sent    atomic.Int64
	// grantedAt is the time of the last grant, in nanoseconds since Peers.created.
	grantedAt atomic.Int64
}

// grant replaces the permits by those for this process's part of room. The part is rounded at random, so that the sum over
// all processes is about right even if each part is below 1.
func (p *permits) grant(room, entries int, at int64) {
	part := permitFactor * float64(max(0, room)) / float64(max(1, entries))
	p.granted.Store(int64(part + rand.Float64()))
	p.sent.Store(0)
	p.grantedAt.Store(at)
}

// left reports whether a request may be sent at the time at.
func (p *permits) left(at int64) bool {
	return p.sent.Load() < p.granted.Load() || at-p.grantedAt.Load() >= int64(permitInterval)
}

// take counts a request. If no report has renewed the permits in time, it grants new ones.
func (p *permits) take(room, entries int, at int64) {
	if p.sent.Load() >= p.granted.Load() && at-p.grantedAt.Load() >= int64(permitInterval) {
		p.grant(room, entries, at)
	}
	p.sent.Add(1)
}
