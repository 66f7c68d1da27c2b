package transfer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
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
	servers     = 8
	fetchDelay  = 20 * time.Millisecond
	testTimeout = 20 * time.Second
)

// gauge records the current and the maximum number of concurrent calls.
type gauge struct {
	current atomic.Int64
	peak    atomic.Int64
}

func (g *gauge) enter() (leave func()) {
	n := g.current.Add(1)
	for {
		peak := g.peak.Load()
		if n <= peak || g.peak.CompareAndSwap(peak, n) {
			return sync.OnceFunc(func() { g.current.Add(-1) })
		}
	}
}

// slowServer delays each Fetch call by fetchDelay.
type slowServer struct {
	message.DRPCWeightsServer
	gauge *gauge
}

func (s *slowServer) Fetch(r *message.FetchRequest, stream message.DRPCWeights_FetchStream) error {
	leave := s.gauge.enter()
	defer leave()
	time.Sleep(fetchDelay)
	return s.DRPCWeightsServer.Fetch(r, &countedStream{DRPCWeights_FetchStream: stream, leave: leave})
}

// countedStream ends a call in the gauge before its last piece is sent. The client may start the next call as soon as it
// has that piece, however late the handler of this one returns.
type countedStream struct {
	message.DRPCWeights_FetchStream
	leave func()
}

func (s *countedStream) Send(p *message.Piece) error {
	if p.GetHolding() != nil {
		s.leave()
	}
	return s.DRPCWeights_FetchStream.Send(p)
}

// fullMesh is a topology in which every participant is a neighbour of all others.
type fullMesh struct{}

func (fullMesh) Layout(_, self string, participants []hub.Member, _ int) hub.Layout {
	var out hub.Layout
	for _, m := range participants {
		if m.Id != self {
			out.Neighbours = append(out.Neighbours, m.Id)
		}
	}
	return out
}

// withTestServer runs a server that holds the complete content until the test ends and returns its address.
func withTestServer(t *testing.T, m manifest.Manifest, encoded, content []byte, g *gauge) string {
	t.Helper()
	server := startServer(t, m, encoded, content, g)
	t.Cleanup(server.Close)
	return server.Address()
}

// startServer starts a server that holds the complete content.
func startServer(t *testing.T, m manifest.Manifest, encoded, content []byte, g *gauge) *link.Server {
	t.Helper()
	cache := replica.NewCache(1<<20, nil)
	r, err := cache.Open(m, encoded, "")
	assert.NilError(t, err)
	for i := range m.Chunks {
		_, err := r.Put(i, content[i*m.ChunkBytes:(i+1)*m.ChunkBytes])
		assert.NilError(t, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := drpcmux.New()
	slow := &slowServer{DRPCWeightsServer: transfer.NewServer(cache, pace.New(0)), gauge: g}
	assert.NilError(t, message.DRPCRegisterWeights(mux, slow))
	return link.Serve(listener, mux, func(error) {})
}

// testContent returns content without equal chunks, and its manifest, decoded and encoded.
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

// fetch fetches the content of a manifest from the participants into a new replica.
func fetch(t *testing.T, m manifest.Manifest, encoded []byte, busy func() bool, participants func(string) []hub.Member) error {
	t.Helper()
	cache := replica.NewCache(1<<20, nil)
	r, err := cache.Open(m, encoded, "")
	assert.NilError(t, err)
	client := link.NewClient(link.Dial)
	t.Cleanup(func() { _ = client.Close() })
	fetcher := transfer.NewFetcher(transfer.Options{
		Self: "self", Link: client, Cache: cache, Pacer: pace.New(0), Topology: fullMesh{}, Busy: busy, Participants: participants,
		Log: journal.Discard().Logger(journal.Placement),
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return fetcher.Complete(ctx, hub.Pin{Version: "v", Root: m.Root, Size: m.Size}, r)
}

// fetchFromAll fetches content that all servers hold and returns the maximum number of chunks fetched concurrently.
func fetchFromAll(t *testing.T, busy func() bool) int64 {
	t.Helper()
	content, m, encoded := testContent(t)
	var g gauge
	members := []hub.Member{{Id: "self"}}
	for i := range servers {
		members = append(members, hub.Member{Id: fmt.Sprint("server-", i), Address: withTestServer(t, m, encoded, content, &g)})
	}
	assert.NilError(t, fetch(t, m, encoded, busy, func(string) []hub.Member { return members }))
	return g.peak.Load()
}

// TestRestartedNeighbourIsReconnected guards against a fetch that keeps trying the old address of a neighbour that was
// restarted at another one.
func TestRestartedNeighbourIsReconnected(t *testing.T) {
	content, m, encoded := testContent(t)
	var g gauge
	var address atomic.Value
	first := startServer(t, m, encoded, content, &g)
	t.Cleanup(first.Close)
	address.Store(first.Address())
	go func() {
		time.Sleep(3 * fetchDelay)
		first.Close()
		address.Store(withTestServer(t, m, encoded, content, &g))
	}()
	assert.NilError(t, fetch(t, m, encoded, nil, func(string) []hub.Member {
		return []hub.Member{{Id: "server", Address: address.Load().(string)}, {Id: "self"}}
	}))
}

// TestBusyLinkReducesParallelFetches guards against many concurrent fetches beside live requests: data in flight from
// many neighbours delays the requests that arrive over the same link.
func TestBusyLinkReducesParallelFetches(t *testing.T) {
	busyPeak := fetchFromAll(t, func() bool { return true })
	assert.Assert(t, busyPeak <= 5, "%d concurrent fetches beside live requests", busyPeak)
	idlePeak := fetchFromAll(t, func() bool { return false })
	assert.Assert(t, idlePeak > 5, "%d concurrent fetches on an idle link", idlePeak)
}
