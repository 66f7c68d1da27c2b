package plan

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// sampleSize is the number of candidates among which the rarest is chosen.
	sampleSize = 8
	// maxDuplicates is the number of fetches of one chunk that may run at once in the end game.
	maxDuplicates = 2
)

// Plan tracks one fetch: what is held, what is being fetched and what the neighbours hold.
type Plan struct {
	endgameAge time.Duration

	mu         sync.Mutex
	rng        *rand.Rand
	chunks     []chunk
	held       int
	neighbours map[string]*neighbour
	origin     []int
	originWake chan struct{}
	done       chan struct{}
}

type chunk struct {
	held   bool
	flying int
	since  time.Time
	// copies counts the neighbours from which the chunk may be fetched.
	copies   int
	crossing bool
}

type neighbour struct {
	// crossing is true for a neighbour in another region.
	crossing bool
	// available are chunks that the neighbour holds and this process may still need, in no order.
	available []int
	// barred are chunks that the neighbour holds but another process is to take over the region link.
	barred []int
}

// New returns a plan for total chunks; a chunk that has been on its way for endgameAge may be fetched twice.
func New(total int, endgameAge time.Duration, seed uint64) *Plan {
	return &Plan{
		endgameAge: endgameAge,
		rng:        rand.New(rand.NewPCG(seed, uint64(total))),
		chunks:     make([]chunk, total),
		neighbours: map[string]*neighbour{},
		originWake: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
}

// Done returns a channel that is closed once every chunk is held.
func (p *Plan) Done() <-chan struct{} { return p.done }

// AddNeighbour makes a neighbour known; crossing is true for one in another region.
func (p *Plan) AddNeighbour(id string, crossing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neighbours[id] = &neighbour{crossing: crossing}
}

// RemoveNeighbour forgets a neighbour and what it holds.
func (p *Plan) RemoveNeighbour(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.neighbours[id]
	if !ok {
		return
	}
	for _, i := range n.available {
		p.chunks[i].copies--
	}
	delete(p.neighbours, id)
}

// NeighbourHolds records that a neighbour holds chunks.
func (p *Plan) NeighbourHolds(id string, indexes []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.neighbours[id]
	if !ok {
		return
	}
	for _, i := range indexes {
		if i < 0 || i >= len(p.chunks) {
			continue
		}
		c := &p.chunks[i]
		if c.held {
			continue
		}
		if n.crossing && !c.crossing {
			n.barred = append(n.barred, i)
			continue
		}
		n.available = append(n.available, i)
		c.copies++
	}
}

// SetOrigin lets this process take chunks from the origin, in the given order, and no others any more: while the
// first members find each other, each takes itself for the owner of most chunks.
func (p *Plan) SetOrigin(indexes []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origin = p.origin[:0]
	for _, i := range indexes {
		if !p.chunks[i].held {
			p.origin = append(p.origin, i)
		}
	}
	signal(p.originWake)
}

// AllowCrossing lets this process take chunks over the link of its region.
func (p *Plan) AllowCrossing(indexes []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range indexes {
		p.chunks[i].crossing = true
	}
	for _, n := range p.neighbours {
		n.unbar(p.chunks)
	}
}

func (n *neighbour) unbar(chunks []chunk) {
	kept := n.barred[:0]
	for _, i := range n.barred {
		if chunks[i].crossing {
			n.available = append(n.available, i)
			chunks[i].copies++
		} else {
			kept = append(kept, i)
		}
	}
	n.barred = kept
}

// Next returns a chunk to fetch from a neighbour and marks it as being fetched.
func (p *Plan) Next(id string, now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.neighbours[id]
	if !ok {
		return 0, false
	}
	best := p.sample(n, now)
	if best < 0 {
		return 0, false
	}
	p.start(best, now)
	return best, true
}

// sample looks at a few random available chunks and returns the rarest that may be fetched, or -1.
// Chunks that turn out to be held are dropped from the list on the way, so each costs one look in all.
func (p *Plan) sample(n *neighbour, now time.Time) int {
	best := -1
	for looked := 0; looked < sampleSize && len(n.available) > 0; {
		at := p.rng.IntN(len(n.available))
		i := n.available[at]
		c := &p.chunks[i]
		if c.held {
			last := len(n.available) - 1
			n.available[at] = n.available[last]
			n.available = n.available[:last]
			continue
		}
		looked++
		if !p.mayStart(c, now) {
			continue
		}
		if best < 0 || p.before(i, best) {
			best = i
		}
	}
	return best
}

// before prefers chunks that nobody fetches for this process yet, then rarer ones.
func (p *Plan) before(i, j int) bool {
	a, b := &p.chunks[i], &p.chunks[j]
	if a.flying != b.flying {
		return a.flying < b.flying
	}
	return a.copies < b.copies
}

func (p *Plan) mayStart(c *chunk, now time.Time) bool {
	if c.flying == 0 {
		return true
	}
	return c.flying < maxDuplicates && now.Sub(c.since) >= p.endgameAge
}

// NextFromOrigin returns a chunk to fetch from the origin and marks it as being fetched.
func (p *Plan) NextFromOrigin(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.origin) > 0 {
		i := p.origin[0]
		p.origin = p.origin[1:]
		c := &p.chunks[i]
		if !c.held && c.flying == 0 {
			p.start(i, now)
			return i, true
		}
	}
	return 0, false
}

// OriginWake returns the channel that wakes the loop fetching from the origin.
func (p *Plan) OriginWake() <-chan struct{} { return p.originWake }

func (p *Plan) start(i int, now time.Time) {
	p.chunks[i].flying++
	p.chunks[i].since = now
}

// Failed marks a fetch as ended without the chunk; fromOrigin puts it back in the origin's list.
func (p *Plan) Failed(i int, fromOrigin bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.chunks[i]
	c.flying--
	if fromOrigin && !c.held {
		p.origin = append(p.origin, i)
		signal(p.originWake)
	}
}

// Held marks a chunk as held; fetched tells whether a fetch of this plan brought it.
func (p *Plan) Held(i int, fetched bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.chunks[i]
	if fetched {
		c.flying--
	}
	if c.held {
		return
	}
	c.held = true
	p.held++
	if p.held == len(p.chunks) {
		close(p.done)
	}
}

// IsHeld reports whether a chunk is held.
func (p *Plan) IsHeld(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chunks[i].held
}

// Progress returns the number of chunks held and their total.
func (p *Plan) Progress() (held, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, len(p.chunks)
}

// Starved reports whether nothing is on its way and no neighbour holds anything that this process may still fetch.
func (p *Plan) Starved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.chunks {
		c := &p.chunks[i]
		if !c.held && (c.flying > 0 || c.copies > 0) {
			return false
		}
	}
	return true
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
