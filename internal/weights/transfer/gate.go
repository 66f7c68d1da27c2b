package transfer

import (
	"context"
	"sync"
	"time"
)

const (
	// queueTime is the time that what is on its way may stand before the next live request on a link.
	queueTime = 200 * time.Millisecond
	// eachWeight is the part of each observation in the time that a chunk takes of a link.
	eachWeight = 0.4
)

// Gate bounds the chunks that are on their way in one direction of a VM's link.
//
// Beside live requests it lets fewer through, and the slower the link turns out to be, the fewer: what has been
// asked for stands before every request that arrives later, and a link may be much slower than its settings say.
type Gate struct {
	// most is the bound of a link without live requests, beside that of one with them at its usual rate.
	most   int
	beside int
	live   func() bool

	mu      sync.Mutex
	running int
	// each is the time that one chunk takes of the link, 0 while it is not known.
	each    time.Duration
	changed chan struct{}
}

// Pass is one chunk on its way.
type Pass struct {
	gate  *Gate
	began time.Time
	// among is the number of chunks that were on their way when this one began, itself included.
	among int
}

// NewGate returns a gate for most chunks, or beside while live reports live requests; nil stands for never.
func NewGate(most, beside int, live func() bool) *Gate {
	return &Gate{most: most, beside: beside, live: live, changed: make(chan struct{})}
}

// Enter waits until one more chunk may be on its way.
func (g *Gate) Enter(ctx context.Context) (Pass, error) {
	for {
		if p, ok := g.try(); ok {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return Pass{}, ctx.Err()
		case <-g.wake():
		}
	}
}

func (g *Gate) try() (Pass, bool) {
	limit := g.limit()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= limit {
		return Pass{}, false
	}
	g.running++
	return Pass{gate: g, began: time.Now(), among: g.running}, true
}

func (g *Gate) wake() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// limit returns the number of chunks that may be on their way now.
func (g *Gate) limit() int {
	if g.live == nil || !g.live() {
		return g.most
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.each == 0 {
		return g.beside
	}
	return max(1, min(g.beside, int(queueTime/g.each)))
}

// Leave ends the pass of a chunk that has arrived, or of one that has not. One that has not arrived takes at least as
// long: a slow link lets many chunks at once arrive so late that none is waited for.
func (p Pass) Leave(arrived bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	each := time.Since(p.began) / time.Duration(p.among)
	switch {
	case g.each == 0 && arrived:
		g.each = each
	case arrived:
		g.each += time.Duration(eachWeight * float64(each-g.each))
	default:
		g.each = max(g.each, each)
	}
	g.running--
	close(g.changed)
	g.changed = make(chan struct{})
}
