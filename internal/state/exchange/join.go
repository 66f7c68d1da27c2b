package exchange

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// joinTime is the time after the start for which a process that lacks a required document asks seeds at joinInterval.
	// It is limited because the documents may be missing everywhere.
	joinTime = 10 * time.Second
	// reservationTime is the time after which a transfer of required documents no longer prevents another one.
	reservationTime = 500 * time.Millisecond
	// notWanted is the revision that a joining process gives for a missing document which must not be sent to it now.
	notWanted = math.MaxUint64
)

// joining is the state of a process until it has the required documents.
//
// After a start of all processes, each one is in exchange with many others when these learn the documents. All of them
// would send it the same documents at the same time, which takes many times as long as one transfer. A joining process
// therefore first asks what the others have, and reserves one transfer at a time. It is safe for concurrent use.
type joining struct {
	catalog  *catalog.Catalog
	required []string
	started  time.Time
	// ended is true once the required documents are there or joinTime has passed.
	ended atomic.Bool

	mu sync.Mutex
	// reservedUntil is the time until which a transfer is reserved.
	reservedUntil time.Time
}

func newJoining(c *catalog.Catalog, required []string) *joining {
	return &joining{catalog: c, required: required, started: time.Now()}
}

// active reports whether the process has started within joinTime and lacks a required document.
func (j *joining) active() bool {
	if j == nil || j.ended.Load() {
		return false
	}
	if len(j.missing()) > 0 && time.Since(j.started) < joinTime {
		return true
	}
	j.ended.Store(true)
	return false
}

// missing returns the names of the required documents that the process lacks.
func (j *joining) missing() []string {
	known := j.catalog.Revisions()
	var out []string
	for _, name := range j.required {
		if known[name] == 0 {
			out = append(out, name)
		}
	}
	return out
}

// reserve reserves a transfer of the missing documents from a process that has the given ones. It returns the token for
// release, zero if that process has none of them or a transfer is reserved already.
func (j *joining) reserve(theirs []*message.DocumentRevision) time.Time {
	if !j.active() || !offers(fromRevisions(theirs), j.missing()) {
		return time.Time{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if now.Before(j.reservedUntil) {
		return time.Time{}
	}
	j.reservedUntil = now.Add(reservationTime)
	return j.reservedUntil
}

// release ends the reservation with the given token, if that is the current one.
func (j *joining) release(token time.Time) {
	if token.IsZero() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reservedUntil.Equal(token) {
		j.reservedUntil = time.Time{}
	}
}

// transferEnded ends the reservation, because documents have arrived. It may be called on nil.
func (j *joining) transferEnded() {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reservedUntil = time.Time{}
}

// reserved reports whether a transfer is reserved.
func (j *joining) reserved() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Now().Before(j.reservedUntil)
}

// revisions returns the revisions to tell another process: those of all documents, and notWanted for the missing ones
// unless the transfer from that process is reserved.
func (j *joining) revisions(c *catalog.Catalog, reserved bool) []*message.DocumentRevision {
	out := toRevisions(c)
	if reserved || !j.active() {
		return out
	}
	for _, name := range j.missing() {
		out = append(out, &message.DocumentRevision{Name: name, Revision: notWanted})
	}
	return out
}

// offers reports whether a process with the given revisions has one of the named documents.
func offers(theirs revisions, names []string) bool {
	for _, name := range names {
		if r := theirs[name]; r != 0 && r != notWanted {
			return true
		}
	}
	return false
}

// join asks one seed after the other as long as the process is joining. Neighbours have mostly started at the same time and
// lack the documents too, so they are asked in the rounds only.
func (c *Client) join(ctx context.Context) {
	for c.waitJoined(ctx, nil, 0, joinInterval/2+rand.N(joinInterval)) {
		seed := c.randomSeed()
		self, _ := c.options.Catalog.Member(c.options.Self)
		if seed == "" || seed == self.Address || c.joining.reserved() || !c.begin(seed) {
			continue
		}
		done := make(chan struct{}, 1)
		go c.exchangeWithSeed(ctx, seed, done)
		c.waitJoined(ctx, done, 1, joinInterval)
	}
	if missing := c.joining.missing(); len(missing) > 0 && ctx.Err() == nil {
		c.options.Log.Warn().Strs("Missing", missing).Dur("Took", time.Since(c.created)).Msg("no process has provided all documents; asking seeds less often")
	} else if ctx.Err() == nil && len(c.options.Required) > 0 {
		c.options.Log.Info().Dur("Took", time.Since(c.created)).Msg("desired state and upstreams received")
	}
}

// waitJoined waits for the given number of signals on done, but at most for d and only while the process is joining. It
// returns false if it is not joining any more or ctx is done.
func (c *Client) waitJoined(ctx context.Context, done <-chan struct{}, signals int, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		documentsChanged := c.options.Catalog.DocumentsChanged()
		if !c.joining.active() {
			return false
		}
		select {
		case <-done:
			if signals--; signals == 0 {
				return true
			}
		case <-documentsChanged:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
