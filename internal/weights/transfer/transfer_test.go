package transfer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	chunks      = 24
	givers      = 8
	giveTime    = 20 * time.Millisecond
	testTimeout = 20 * time.Second
)

// gauge counts what goes on at the same time.
type gauge struct {
	now  atomic.Int64
	most atomic.Int64
}

func (g *gauge) enter() func() {
	n := g.now.Add(1)
	for {
		most := g.most.Load()
		if n <= most || g.most.CompareAndSwap(most, n) {
			return func() { g.now.Add(-1) }
		}
	}
}

// slowGiver takes its time for each chunk.
type slowGiver struct {
	message.DRPCWeightsServer
	gauge *gauge
}

func (s *slowGiver) Fetch(r *message.FetchRequest, stream message.DRPCWeights_FetchStream) error {
	defer s.gauge.enter()()
	time.Sleep(giveTime)
	return s.DRPCWeightsServer.Fetch(r, stream)
}

// neighbours follows all participants.
type neighbours struct{}

func (neighbours) Layout(_, self string, participants []hub.Member, _ int) hub.Layout {
	var out hub.Layout
	for _, m := range participants {
		if m.Id != self {
			out.Neighbours = append(out.Neighbours, m.Id)
		}
	}
	return out
}

// withTestGiver runs a process that holds the whole content and returns its address.
func withTestGiver(t *testing.T, m manifest.Manifest, encoded, content []byte, g *gauge) string {
	t.Helper()
	server := startGiver(t, m, encoded, content, g)
	t.Cleanup(server.Close)
	return server.Address()
}

func startGiver(t *testing.T, m manifest.Manifest, encoded, content []byte, g *gauge) *link.Server {
	t.Helper()
	shelf := replica.NewShelf(1<<20, nil)
	r, err := shelf.Open(m, encoded, "")
	assert.NilError(t, err)
	for i := range m.Chunks {
		_, err := r.Put(i, content[i*m.ChunkBytes:(i+1)*m.ChunkBytes])
		assert.NilError(t, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := drpcmux.New()
	giver := &slowGiver{DRPCWeightsServer: transfer.NewServer(shelf, pace.New(0)), gauge: g}
	assert.NilError(t, message.DRPCRegisterWeights(mux, giver))
	return link.Serve(listener, mux, func(error) {})
}

// testContent returns content of different chunks with its manifest, plain and encoded.
func testContent(t *testing.T) (content []byte, m manifest.Manifest, encoded []byte) {
	t.Helper()
	content = bytes.Repeat([]byte("0123456789abcdef"), chunks*manifest.MinChunkBytes/16)
	for i := range chunks {
		content[i*manifest.MinChunkBytes] = byte(i)
	}
	m, err := manifest.Build("v", bytes.NewReader(content), manifest.MinChunkBytes)
	assert.NilError(t, err)
	encoded, err = m.Encode()
	assert.NilError(t, err)
	return content, m, encoded
}

// fetch fetches the content of a manifest from the participants.
func fetch(t *testing.T, m manifest.Manifest, encoded []byte, busy func() bool, participants func(string) []hub.Member) error {
	t.Helper()
	shelf := replica.NewShelf(1<<20, nil)
	r, err := shelf.Open(m, encoded, "")
	assert.NilError(t, err)
	client := link.NewClient(link.Dial)
	t.Cleanup(func() { _ = client.Close() })
	fetcher := transfer.NewFetcher(transfer.Options{
		Self: "self", Link: client, Shelf: shelf, Pacer: pace.New(0), Topology: neighbours{}, Busy: busy, Participants: participants,
		Log: journal.Discard().Logger(journal.Placement),
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return fetcher.Complete(ctx, hub.Pin{Version: "v", Root: m.Root, Size: m.Size}, r)
}

// fetchFromAll fetches content that all givers hold and returns how many chunks were on their way at once.
func fetchFromAll(t *testing.T, busy func() bool) int64 {
	t.Helper()
	content, m, encoded := testContent(t)
	var g gauge
	members := []hub.Member{{Id: "self"}}
	for i := range givers {
		members = append(members, hub.Member{Id: fmt.Sprint("giver-", i), Address: withTestGiver(t, m, encoded, content, &g)})
	}
	assert.NilError(t, fetch(t, m, encoded, busy, func(string) []hub.Member { return members }))
	return g.most.Load()
}

// A neighbour that ends and starts again elsewhere is followed at its new address.
func TestRestartedNeighbourIsFollowedAnew(t *testing.T) {
	content, m, encoded := testContent(t)
	var g gauge
	var address atomic.Value
	first := startGiver(t, m, encoded, content, &g)
	t.Cleanup(first.Close)
	address.Store(first.Address())
	go func() {
		time.Sleep(3 * giveTime)
		first.Close()
		address.Store(withTestGiver(t, m, encoded, content, &g))
	}()
	assert.NilError(t, fetch(t, m, encoded, nil, func(string) []hub.Member {
		return []hub.Member{{Id: "giver", Address: address.Load().(string)}, {Id: "self"}}
	}))
}

// What many neighbours send at once stands before the requests that arrive over the same link.
func TestFewChunksAtOnceBesideLiveRequests(t *testing.T) {
	beside := fetchFromAll(t, func() bool { return true })
	assert.Assert(t, beside <= 5, "%d chunks at once", beside)
	alone := fetchFromAll(t, func() bool { return false })
	assert.Assert(t, alone > 5, "%d chunks at once", alone)
}
