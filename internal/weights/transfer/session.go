package transfer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/weights/plan"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

const (
	// downloadSlots bounds the chunks that are fetched from peers at once. Where live requests use the link, each
	// takes busySlots of them: what many senders have under way at once stands before the requests that arrive.
	downloadSlots = 10
	busySlots     = 2
	// lastResortChunks bounds the chunks that are tried at the origin when all ranks have had their turn.
	lastResortChunks = 2
	// refreshInterval is the time between two looks at the participants.
	refreshInterval = 500 * time.Millisecond
	// endgameAge is the age from which a fetch may be doubled.
	endgameAge = time.Second
	// setAside is the time for which a peer that stalled or sent corrupt chunks is not asked.
	setAside = 15 * time.Second
)

// session is one run over the chunks of a replica.
//
// It keeps one loop for each neighbour and one for the sources. Loops take their chunks from the plan,
// so a chunk is on its way once, except in the end game. What a broken transfer left behind is kept and
// completed by the next sender; if the completed chunk is corrupt, it is fetched whole from one sender.
type session struct {
	fetcher *Fetcher
	pin     hub.Pin
	replica *replica.Replica
	plan    *plan.Plan
	slots   *semaphore.Weighted
	started time.Time

	mu        sync.Mutex
	members   []string
	layout    hub.Layout
	peers     map[string]context.CancelFunc
	aside     map[string]time.Time
	partial   map[int]partialChunk
	cancels   map[int][]context.CancelFunc
	rank      int
	starved   time.Time
	lastTotal int
}

// partialChunk is the beginning of a chunk left by a broken transfer.
type partialChunk struct {
	buf    []byte
	filled int
}

func newSession(f *Fetcher, pin hub.Pin, r *replica.Replica) *session {
	total := len(r.Manifest.Chunks)
	s := &session{
		fetcher: f,
		pin:     pin,
		replica: r,
		plan:    plan.New(total, endgameAge, rand.Uint64()),
		slots:   semaphore.NewWeighted(downloadSlots),
		started: time.Now(),
		peers:   map[string]context.CancelFunc{},
		aside:   map[string]time.Time{},
		partial: map[int]partialChunk{},
		cancels: map[int][]context.CancelFunc{},
		starved: time.Now(),
	}
	for i := range total {
		if r.Has(i) {
			s.plan.Held(i, false)
		}
	}
	return s
}

// run returns once every chunk is held, or with the error of ctx.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for range s.fetcher.options.OriginFetches {
		running.Go(func() { s.originLoop(ctx) })
	}
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.refresh(ctx, &running)
		s.escalate(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.plan.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh follows the neighbours of the current layout and leaves the others.
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
		s.allow()
	}
	s.follow(ctx, running, s.layout, addresses)
}

// allow takes on the duties of the layout: the own ones, and those of the current rank where others have not
// carried theirs out. Beyond the last rank a few missing chunks are tried. What the origin is asked for never
// grows with the time that it is down, or all would ask for everything when it is back.
func (s *session) allow() {
	var origin []int
	if len(s.layout.OriginChunks) > 0 {
		origin = append(origin, s.layout.OriginChunks[0]...)
	}
	switch {
	case s.rank > plan.MaxRank:
		missing := s.missing()
		origin = append(origin, missing[:min(len(missing), lastResortChunks)]...)
		s.plan.AllowCrossing(missing)
	case s.rank > 0 && s.rank < len(s.layout.OriginChunks):
		origin = append(origin, s.layout.OriginChunks[s.rank]...)
	}
	s.plan.SetOrigin(origin)
	for rank := 0; rank <= s.rank && rank < len(s.layout.RemoteChunks); rank++ {
		s.plan.AllowCrossing(s.layout.RemoteChunks[rank])
	}
}

func (s *session) follow(ctx context.Context, running *sync.WaitGroup, layout hub.Layout, addresses map[string]string) {
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
	for id, crossing := range wanted {
		if s.peers[id] != nil || time.Now().Before(s.aside[id]) || addresses[id] == "" {
			continue
		}
		s.startPeer(ctx, running, id, addresses[id], crossing)
	}
}

func (s *session) startPeer(ctx context.Context, running *sync.WaitGroup, id, address string, crossing bool) {
	ctx, cancel := context.WithCancel(ctx)
	s.peers[id] = cancel
	s.plan.AddNeighbour(id, crossing)
	p := &peer{session: s, id: id, address: address}
	running.Go(func() {
		p.run(ctx)
		cancel()
		s.endPeer(id)
	})
}

func (s *session) endPeer(id string) {
	s.plan.RemoveNeighbour(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, id)
}

// putAside keeps a peer from being asked for a while.
func (s *session) putAside(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aside[id] = time.Now().Add(setAside)
}

// escalate takes on the duties of the next rank when there has been nothing to fetch for a while.
func (s *session) escalate(now time.Time) {
	held, _ := s.plan.Progress()
	s.mu.Lock()
	defer s.mu.Unlock()
	if held != s.lastTotal || !s.plan.Starved() {
		s.lastTotal = held
		s.starved = now
		return
	}
	if now.Sub(s.starved) < s.fetcher.options.Patience {
		return
	}
	s.starved = now
	s.rank++
	o := &s.fetcher.options
	s.allow()
	o.Log.Debug().Str("Version", s.pin.Version).Int("Rank", s.rank).Int("Held", held).Msg("took over duties")
}

// missing returns the chunks that are not held, in random order.
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

// begin returns the buffer of a chunk with what an earlier transfer left in it.
func (s *session) begin(ctx context.Context, index int) (context.Context, context.CancelFunc, partialChunk) {
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

// leave keeps the beginning of a chunk for the next sender.
func (s *session) leave(index int, part partialChunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if part.filled > s.partial[index].filled {
		s.partial[index] = part
	}
}

// slotsEach returns the slots that one fetch from a peer takes now.
func (s *session) slotsEach() int64 {
	if busy := s.fetcher.options.Busy; busy != nil && busy() {
		return busySlots
	}
	return 1
}

// finish puts a whole chunk into the replica and ends the other fetches of it.
func (s *session) finish(index int, buf []byte) error {
	if _, err := s.replica.Put(index, buf); err != nil {
		return err
	}
	s.plan.Held(index, true)
	s.mu.Lock()
	cancels := s.cancels[index]
	delete(s.cancels, index)
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return nil
}
