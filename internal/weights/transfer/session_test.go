package transfer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/plan"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
)

// testSession returns a session of a process without chunks.
func testSession(t *testing.T, self string, members []string, o Options) *session {
	t.Helper()
	const chunks = 8
	digests := make([]string, chunks)
	for i := range digests {
		digests[i] = fmt.Sprintf("%064x", i)
	}
	m := manifest.FromChunks("v", manifest.MinChunkBytes, digests)
	encoded, err := m.Encode()
	assert.NilError(t, err)
	r, err := replica.NewCache(1<<20, nil).Open(m, encoded, "")
	assert.NilError(t, err)
	o.Self = self
	s := newSession(NewFetcher(o), hub.Pin{Version: "v", Root: m.Root}, r)
	s.members = members
	return s
}

// Guards against processes that all request the same missing chunk once an origin that was down is back: its link is then
// so busy that none receives the chunk in time.
func TestFewProcessesReadFromTheOriginInTheEnd(t *testing.T) {
	var members []string
	for i := range 150 {
		members = append(members, fmt.Sprint("vm-", i))
	}
	before := 0
	for rank := plan.MaxRank; rank <= plan.MaxRank+40; rank++ {
		readers := 0
		for _, id := range members {
			s := testSession(t, id, members, Options{})
			s.rank = rank
			s.allowChunks()
			if _, ok := s.plan.NextFromOrigin(time.Now()); ok {
				readers++
			}
		}
		assert.Assert(t, readers <= 4*(rank-plan.MaxRank), "%d processes at rank %d", readers, rank)
		assert.Assert(t, readers > before || readers == len(members) || rank == plan.MaxRank, "%d processes at rank %d", readers, rank)
		before = readers
	}
	assert.Equal(t, before, len(members))
}

// Guards against an origin that idles because the processes that read from it have received the manifest late: it may go
// down before the last chunks have left it.
func TestTurnsAreCountedFromTheTimeTheVersionWasNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		named := time.Now()
		time.Sleep(300 * time.Millisecond)
		s := testSession(t, "a", []string{"a"}, Options{Since: named, OriginBytesPerSecond: 4 * manifest.MinChunkBytes})
		assert.NilError(t, s.waitTurn(t.Context(), 1))
		assert.Equal(t, time.Since(named), 300*time.Millisecond, "the turn of chunk 1 was over")
		assert.NilError(t, s.waitTurn(t.Context(), 4))
		assert.Equal(t, time.Since(named), time.Second)
	})
}

// Guards against chunks of failed or frozen members that are taken over late: the delay is counted from the last progress.
func TestTakeoverFollowsTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testSession(t, "a", []string{"a"}, Options{TakeoverDelay: 400 * time.Millisecond, Log: journal.Discard().Logger(journal.Placement), Topology: noPeers{}, Participants: func(string) []hub.Member { return nil }})
		done := make(chan error)
		go func() { done <- s.run(t.Context()) }()
		time.Sleep(520 * time.Millisecond)
		s.mu.Lock()
		rank := s.rank
		s.mu.Unlock()
		assert.Equal(t, rank, 1)
		for i := range 8 {
			s.plan.MarkHeld(i, false)
		}
		assert.NilError(t, <-done)
	})
}

// noPeers is a topology without neighbours and duties.
type noPeers struct{}

func (noPeers) Layout(string, string, []hub.Member, int) hub.Layout { return hub.Layout{} }
