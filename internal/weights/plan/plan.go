package plan

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// sampleSize is the number of random chunks from which Next selects the rarest.
	sampleSize = 8
	// maxFetchesPerChunk is the maximum number of concurrent fetches of one chunk in endgame mode.
	maxFetchesPerChunk = 2
)

// Plan selects the chunks to fetch. It tracks the chunks that are held, those being fetched and those that the
// neighbours hold. It is safe for concurrent use.
type Plan struct {
	// endgameAge is the age of a fetch from which a second fetch of the same chunk may start.
	endgameAge time.Duration

	mu         sync.Mutex
	rng        *rand.Rand
	chunks     []chunk
	held       int
	neighbours map[string]*neighbour
	// origin lists the chunks to fetch from the origin, in order.
	origin     []int
	originWake chan struct{}
	done       chan struct{}
}

type chunk struct {
	held bool
	// inFlight is the number of fetches in progress.
	inFlight int
	// startedAt is the start time of the most recent fetch.
	startedAt time.Time
	// copies is the number of neighbours from which the chunk may be fetched.
	copies int
	// remote is true if the chunk may be fetched from another region.
	remote bool
}

type neighbour struct {
	// remote is true for a neighbour in another region.
	remote bool
	// available lists the chunks that may be fetched from the neighbour, in no order. Chunks that this process holds
	// by now are removed lazily.
	available []int
	// blocked lists the chunks that the neighbour holds but this process is not allowed to fetch from another region.
	blocked []int
}

// New returns a plan for total chunks. Once a chunk has been in flight for endgameAge, a second fetch of it may start
// at another neighbour. seed initializes the random selection.
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

// AddNeighbour adds a neighbour that holds no chunks yet; remote is true if it is in another region.
func (p *Plan) AddNeighbour(id string, remote bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neighbours[id] = &neighbour{remote: remote}
}

// RemoveNeighbour removes a neighbour and the record of the chunks that it holds.
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

// NeighbourHolds records that a neighbour holds the given chunks. Unknown neighbours and invalid indexes are ignored.
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
		if n.remote && !c.remote {
			n.blocked = append(n.blocked, i)
			continue
		}
		n.available = append(n.available, i)
		c.copies++
	}
}

// SetOrigin replaces the list of chunks that this process may fetch from the origin, in the given order.
// Earlier assignments must not remain valid: while the first members discover each other, each of them computes that
// it owns most chunks.
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

// AllowRemote allows this process to fetch the given chunks from neighbours in other regions.
func (p *Plan) AllowRemote(indexes []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range indexes {
		p.chunks[i].remote = true
	}
	for _, n := range p.neighbours {
		n.unblock(p.chunks)
	}
}

// unblock moves the blocked chunks that have been allowed to the available ones.
func (n *neighbour) unblock(chunks []chunk) {
	kept := n.blocked[:0]
	for _, i := range n.blocked {
		if chunks[i].remote {
			n.available = append(n.available, i)
			chunks[i].copies++
		} else {
			kept = append(kept, i)
		}
	}
	n.blocked = kept
}

// Next selects a chunk to fetch from a neighbour and marks it as in flight. It returns false if there is none.
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

// sample returns the rarest of up to sampleSize random available chunks that may be fetched, or -1 if there is none.
// It removes chunks that are already held from the list, so each of them is visited only once.
func (p *Plan) sample(n *neighbour, now time.Time) int {
	best := -1
	for visited := 0; visited < sampleSize && len(n.available) > 0; {
		at := p.rng.IntN(len(n.available))
		i := n.available[at]
		c := &p.chunks[i]
		if c.held {
			last := len(n.available) - 1
			n.available[at] = n.available[last]
			n.available = n.available[:last]
			continue
		}
		visited++
		if !p.mayStart(c, now) {
			continue
		}
		if best < 0 || p.preferred(i, best) {
			best = i
		}
	}
	return best
}

// preferred reports whether chunk i should be fetched rather than chunk j: the one with fewer fetches in flight,
// then the rarer one.
func (p *Plan) preferred(i, j int) bool {
	a, b := &p.chunks[i], &p.chunks[j]
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	return a.copies < b.copies
}

func (p *Plan) mayStart(c *chunk, now time.Time) bool {
	if c.inFlight == 0 {
		return true
	}
	return c.inFlight < maxFetchesPerChunk && now.Sub(c.startedAt) >= p.endgameAge
}

// NextFromOrigin returns the next chunk to fetch from the origin and marks it as in flight.
// It returns false if there is none.
func (p *Plan) NextFromOrigin(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.origin) > 0 {
		i := p.origin[0]
		p.origin = p.origin[1:]
		c := &p.chunks[i]
		if !c.held && c.inFlight == 0 {
			p.start(i, now)
			return i, true
		}
	}
	return 0, false
}

// OriginWake returns a channel that receives a value when NextFromOrigin may return a chunk again.
func (p *Plan) OriginWake() <-chan struct{} { return p.originWake }

func (p *Plan) start(i int, now time.Time) {
	p.chunks[i].inFlight++
	p.chunks[i].startedAt = now
}

// MarkFailed records that a fetch of chunk i has failed. If fromOrigin is true, the chunk is appended to the list for
// NextFromOrigin again.
func (p *Plan) MarkFailed(i int, fromOrigin bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.chunks[i]
	c.inFlight--
	if fromOrigin && !c.held {
		p.origin = append(p.origin, i)
		signal(p.originWake)
	}
}

// MarkHeld records that chunk i is held; fetched is true if it was obtained by a fetch that this plan started.
func (p *Plan) MarkHeld(i int, fetched bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.chunks[i]
	if fetched {
		c.inFlight--
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

// Progress returns the number of held chunks and the total number of chunks.
func (p *Plan) Progress() (held, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, len(p.chunks)
}

// Starved reports whether no chunk is in flight and no neighbour holds a missing chunk that may be fetched from it.
func (p *Plan) Starved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.chunks {
		c := &p.chunks[i]
		if !c.held && (c.inFlight > 0 || c.copies > 0) {
			return false
		}
	}
	return true
}

// signal sends to ch, which has a buffer of one, unless a value is already pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
