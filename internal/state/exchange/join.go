package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/state/catalog"
)

const (
	// joinTime is the time after the start for which a process that lacks a required document asks seeds at joinInterval.
	// It is limited because the documents may be missing everywhere.
	joinTime = 10 * time.Second
)

// joining is the state of a process until it has the required documents. It is safe for concurrent use.
type joining struct {
	catalog  *catalog.Catalog
	required []string
	started  time.Time
	// ended is true once the required documents are there or joinTime has passed.
	ended atomic.Bool
}

func newJoining(c *catalog.Catalog, required []string) *joining {
	return &joining{catalog: c, required: required, started: time.Now()}
}

// active reports whether the process has started within joinTime and lacks a required document.
func (j *joining) active() bool {
	if j.ended.Load() {
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

// join asks one seed after the other as long as the process is joining. Neighbours have mostly started at the same time and
// lack the documents too, so they are asked in the rounds only.
func (c *Client) join(ctx context.Context) {
	for c.waitJoined(ctx, nil, 0, joinInterval/2+rand.N(joinInterval)) {
		seed := c.randomSeed()
		self, _ := c.options.Catalog.Member(c.options.Self)
		if seed == "" || seed == self.Address || !c.begin(seed) {
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
