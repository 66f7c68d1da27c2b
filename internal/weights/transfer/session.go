package transfer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/plan"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

const (
	// downloadSlots is the maximum number of chunks fetched concurrently from peers. While live requests use the link,
	// each fetch takes busySlots of the slots, because data in flight from many senders delays incoming requests.
	downloadSlots = 10
	busySlots     = 2
	// maxLastResortChunks is the maximum number of missing chunks that one process requests from the origin beyond the
	// highest rank, lastResortReaders the number of processes that do so for each rank beyond the highest.
	maxLastResortChunks = 2
	lastResortReaders   = 4
	// refreshInterval is the interval at which the participants are read, escalateInterval that at which it is checked
	// whether there is no chunk to fetch.
	refreshInterval  = 500 * time.Millisecond
	escalateInterval = 100 * time.Millisecond
	// endgameAge is the age of a fetch from which a second fetch of the same chunk may start.
	endgameAge = time.Second
	// suspendDuration is the time for which no chunks are fetched from a peer that stalled or sent corrupt data.
	suspendDuration = 15 * time.Second
)

// session fetches the missing chunks of a replica.
//
// It runs one goroutine for each neighbour and Options.OriginFetches for the sources. They obtain their chunks from the
// plan, so only one fetch of a chunk is in progress at a time, except in endgame mode. The bytes received by a failed
// fetch are kept, and the next fetch resumes after them, from whichever sender; if the completed chunk is corrupt, it
// is fetched again from its beginning.
type session struct {
	fetcher *Fetcher
	pin     hub.Pin
	replica *replica.Replica
	plan    *plan.Plan
	// slots limits the concurrent fetches from peers; it has downloadSlots slots.
	slots *semaphore.Weighted
	// turnsFrom is the time from which the turns of the chunks at the origin are counted.
	turnsFrom time.Time

	mu sync.Mutex
	// members lists the IDs of the participants for which layout was computed.
	members []string
	layout  hub.Layout
	// peers holds the functions that stop the goroutines of the neighbours, by ID.
	peers map[string]context.CancelFunc
	// suspendedUntil holds the times until which neighbours are suspended, by ID.
	suspendedUntil map[string]time.Time
	// partial holds the bytes received by failed fetches, by chunk index.
	partial map[int]partialChunk
	// cancels holds the functions that cancel the fetches of a chunk, by chunk index.
	cancels map[int][]context.CancelFunc
	// rank is the highest rank of which chunks may be fetched.
	rank int
	// starvedSince is the time since which there has been no progress and no chunk to fetch.
	starvedSince time.Time
	// lastHeld is the number of chunks held at the last call of escalate.
	lastHeld int
}

// partialChunk is the buffer of a chunk whose first filled bytes have been received.
type partialChunk struct {
	buf    []byte
	filled int
}

func newSession(f *Fetcher, pin hub.Pin, r *replica.Replica) *session {
	total := len(r.Manifest.Chunks)
	s := &session{
		fetcher:        f,
		pin:            pin,
		replica:        r,
		plan:           plan.New(total, endgameAge, rand.Uint64()),
		slots:          semaphore.NewWeighted(downloadSlots),
		turnsFrom:      f.options.Since,
		peers:          map[string]context.CancelFunc{},
		suspendedUntil: map[string]time.Time{},
		partial:        map[int]partialChunk{},
		cancels:        map[int][]context.CancelFunc{},
		starvedSince:   time.Now(),
	}
	if s.turnsFrom.IsZero() {
		s.turnsFrom = time.Now()
	}
	for i := range total {
		if r.Has(i) {
			s.plan.MarkHeld(i, false)
		}
	}
	return s
}

// run fetches chunks until all are held, or returns ctx.Err() if ctx is done first.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for range s.fetcher.options.OriginFetches {
		running.Go(func() { s.originLoop(ctx) })
	}
	s.refresh(ctx, &running)
	refresh, escalate := time.NewTicker(refreshInterval), time.NewTicker(escalateInterval)
	defer refresh.Stop()
	defer escalate.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.plan.Done():
			return nil
		case <-refresh.C:
			s.refresh(ctx, &running)
		case <-escalate.C:
			s.escalate(time.Now())
		}
	}
}

// refresh recomputes the layout if the participants have changed, and updates the peers accordingly.
func (s *session) refresh(ctx context.Context, running *sync.WaitGroup) {
	o := &s.fetcher.options
	participants := o.Participants(s.pin.Root)
	ids := make([]string, len(participants))
	addresses := map[string]string{}
	for i, m := range participants {
		ids[i] = m.Id
		addresses[m.Id] = m.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(ids, s.members) {
		s.members = ids
		s.layout = o.Topology.Layout(s.pin.Root, o.Self, participants, len(s.replica.Manifest.Chunks))
		s.allowChunks()
	}
	s.updatePeers(ctx, running, s.layout, addresses)
}

// allowChunks lets the plan fetch the chunks that the layout assigns to this process: from the origin those of rank 0
// and of the current rank, from other regions those of all ranks up to the current one. Beyond the highest rank, it
// allows any missing chunk from other regions, and a few processes to request a few chunks from the origin. Their number
// must not grow with that of the processes; otherwise all would request the same chunks once an origin that was down is
// back, and none would receive one in time.
func (s *session) allowChunks() {
	var origin []int
	if len(s.layout.OriginChunks) > 0 {
		origin = append(origin, s.layout.OriginChunks[0]...)
	}
	switch {
	case s.rank > plan.MaxRank:
		missing := s.missing()
		if s.isLastResortReader() {
			origin = append(origin, missing[:min(len(missing), maxLastResortChunks)]...)
		}
		s.plan.AllowRemote(missing)
	case s.rank > 0 && s.rank < len(s.layout.OriginChunks):
		origin = append(origin, s.layout.OriginChunks[s.rank]...)
	}
	s.plan.SetOrigin(origin)
	for rank := 0; rank <= s.rank && rank < len(s.layout.RemoteChunks); rank++ {
		s.plan.AllowRemote(s.layout.RemoteChunks[rank])
	}
}

// isLastResortReader reports whether this process may request chunks from the origin that are not assigned to it:
// lastResortReaders processes more with each rank beyond the highest, the first ones in hash order.
func (s *session) isLastResortReader() bool {
	own := lastResortHash(s.pin.Root, s.fetcher.options.Self)
	before := 0
	for _, id := range s.members {
		if lastResortHash(s.pin.Root, id) < own {
			before++
		}
	}
	return before < lastResortReaders*(s.rank-plan.MaxRank)
}

func lastResortHash(root, id string) uint64 { return xxhash.Sum64String(root + "/last-resort/" + id) }

// updatePeers starts the peers of the layout that are not suspended and stops those that are no longer part of it.
func (s *session) updatePeers(ctx context.Context, running *sync.WaitGroup, layout hub.Layout, addresses map[string]string) {
	// wanted maps the ID of each peer of the layout to whether it is in another region.
	wanted := map[string]bool{}
	for _, id := range layout.Neighbours {
		wanted[id] = false
	}
	for _, id := range layout.RemotePeers {
		wanted[id] = true
	}
	for id, stop := range s.peers {
		if _, ok := wanted[id]; !ok {
			stop()
			delete(s.peers, id)
		}
	}
	for id, remote := range wanted {
		if s.peers[id] != nil || time.Now().Before(s.suspendedUntil[id]) || addresses[id] == "" {
			continue
		}
		s.startPeer(ctx, running, id, addresses[id], remote)
	}
}

// startPeer adds a neighbour to the plan and starts the goroutine that fetches from it. The caller holds s.mu.
func (s *session) startPeer(ctx context.Context, running *sync.WaitGroup, id, address string, remote bool) {
	ctx, cancel := context.WithCancel(ctx)
	s.peers[id] = cancel
	s.plan.AddNeighbour(id, remote)
	p := &peer{session: s, id: id, address: address}
	running.Go(func() {
		p.run(ctx)
		cancel()
		s.endPeer(id)
	})
}

// endPeer removes a neighbour whose goroutine ends.
func (s *session) endPeer(id string) {
	s.plan.RemoveNeighbour(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, id)
}

// suspend prevents new fetches from a peer for suspendDuration.
func (s *session) suspend(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedUntil[id] = time.Now().Add(suspendDuration)
}

// escalate increments the rank if there has been no chunk to fetch for TakeoverDelay: the members of lower ranks have
// not fetched their chunks in time.
func (s *session) escalate(now time.Time) {
	held, _ := s.plan.Progress()
	s.mu.Lock()
	defer s.mu.Unlock()
	if held != s.lastHeld || !s.plan.Starved() {
		s.lastHeld = held
		s.starvedSince = now
		return
	}
	if now.Sub(s.starvedSince) < s.fetcher.options.TakeoverDelay {
		return
	}
	s.starvedSince = now
	s.rank++
	o := &s.fetcher.options
	s.allowChunks()
	o.Log.Debug().Str("Version", s.pin.Version).Int("Rank", s.rank).Int("Held", held).Msg("no chunk to fetch; also fetching chunks of the next rank")
}

// missing returns the indexes of the chunks that are not held, in random order.
func (s *session) missing() []int {
	var missing []int
	for i := range s.replica.Manifest.Chunks {
		if !s.plan.IsHeld(i) {
			missing = append(missing, i)
		}
	}
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	return missing
}

// beginFetch registers a fetch of a chunk and returns its context and a buffer that holds the bytes received by an
// earlier fetch.
func (s *session) beginFetch(ctx context.Context, index int) (context.Context, context.CancelFunc, partialChunk) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[index] = append(s.cancels[index], cancel)
	part, ok := s.partial[index]
	if ok {
		delete(s.partial, index)
		return ctx, cancel, part
	}
	return ctx, cancel, partialChunk{buf: make([]byte, s.replica.Manifest.ChunkLength(index))}
}

// keepPartial keeps the bytes received by a failed fetch for the next one.
func (s *session) keepPartial(index int, part partialChunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if part.filled > s.partial[index].filled {
		s.partial[index] = part
	}
}

// slotsPerFetch returns the number of download slots that one fetch from a peer currently takes.
func (s *session) slotsPerFetch() int64 {
	if busy := s.fetcher.options.Busy; busy != nil && busy() {
		return busySlots
	}
	return 1
}

// finishFetch verifies a complete chunk, adds it to the replica and cancels other fetches of the chunk.
func (s *session) finishFetch(index int, buf []byte) error {
	if _, err := s.replica.Put(index, buf); err != nil {
		return err
	}
	s.plan.MarkHeld(index, true)
	s.mu.Lock()
	cancels := s.cancels[index]
	delete(s.cancels, index)
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return nil
}
