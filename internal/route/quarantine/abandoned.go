package quarantine

import (
	"slices"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const (
	// abandonedTTL is the time for which a crash of an upstream is put down to a request whose caller has left, because the
	// upstream may have worked on.
	abandonedTTL = time.Second
	// maxAbandoned limits the attempts that are remembered.
	maxAbandoned = 256
)

// abandoned is an attempt that ended before its response because the caller left.
type abandoned struct {
	upstream directory.Key
	request  string
	at       time.Time
}

// Abandoned records that the caller of a request left before the upstream's response.
func (q *Quarantine) Abandoned(upstream directory.Key, k *Keys) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.expireAbandoned(now)
	if k.Request == "" || q.isSound(k.Request, now) {
		return
	}
	if len(q.abandoned) >= maxAbandoned {
		q.abandoned = slices.Delete(q.abandoned, 0, 1)
	}
	q.abandoned = append(q.abandoned, abandoned{upstream: upstream, request: k.Request, at: now})
}

// Lost records that an upstream has crashed, and suspects the requests whose callers had left shortly before.
func (q *Quarantine) Lost(upstream directory.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.expireAbandoned(now)
	added := false
	for _, a := range q.abandoned {
		if a.upstream == upstream && !q.isSound(a.request, now) && q.add(record{upstream: upstream, request: a.request, told: true, at: now}, now) {
			added = true
			q.tellOf(a.request)
			q.options.Log.Warn().Str("Upstream", upstream.Id).Str("Request", a.request).Msg("upstream lost after the caller of a request had left; the request is suspected")
		}
	}
	q.abandoned = slices.DeleteFunc(q.abandoned, func(a abandoned) bool { return a.upstream == upstream })
	if added {
		q.quarantineSuspects(now)
		q.notify()
	}
}

func (q *Quarantine) expireAbandoned(now time.Time) {
	q.abandoned = slices.DeleteFunc(q.abandoned, func(a abandoned) bool { return now.Sub(a.at) > abandonedTTL })
}
