package stager_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/upstream/stager"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/pace"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/weights/transfer"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	chunks      = 8
	chunkBytes  = manifest.MinChunkBytes
	testTimeout = 30 * time.Second
)

// side is a stager with the other parts of a side process that it needs, and its engine.
type side struct {
	publisher desired.Publisher
	catalog   *catalog.Catalog
	directory *directory.Directory
	engine    *engine
	member    hub.Member
}

func withTestSide(t *testing.T, id string, o *origin, e *engine, bound time.Duration) *side {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return withTestSideAt(t, listener, id, o, e, bound)
}

// withTestSideAt runs a side process whose control interface is served on listener.
func withTestSideAt(t *testing.T, listener net.Listener, id string, o *origin, e *engine, bound time.Duration) *side {
	t.Helper()
	log := journal.Discard().Logger(journal.Placement)
	s := &side{catalog: catalog.New(1), engine: e}
	s.publisher = desired.Publisher{Catalog: s.catalog}
	s.directory = directory.New(directory.Options{Catalog: s.catalog, Decoder: desired.Decoder{}, Regions: map[string]string{"d": "r"}, Log: log})
	cache := replica.NewCache(1<<20, nil)
	client := link.NewClient(link.Dial)
	mux := drpcmux.New()
	assert.NilError(t, message.DRPCRegisterWeights(mux, transfer.NewServer(cache, pace.New(0))))
	server := link.Serve(listener, mux, func(error) {})
	s.member = hub.Member{Id: id, Role: hub.RoleSide, Group: "s", Region: "r", Address: server.Address(), Incarnation: 1, Sequence: 1, State: hub.StateServing}
	s.catalog.PutMember(s.member, id)
	st := stager.New(stager.Options{
		Self: server.Address(), Region: "r", Service: "s", Engine: e, Directory: s.directory, Catalog: s.catalog, Link: client, Cache: cache, Pacer: pace.New(0),
		NewSource:   func(*hub.Origin, *hub.EngineModel) hub.WeightSource { return o },
		SwitchBound: func() time.Duration { return bound },
		OnReport:    func(hub.UpstreamReport) {},
		Log:         log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); st.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; server.Close(); _ = client.Close() })
	model := &hub.EngineModel{Model: "m", Slots: 4, Layers: 2, Chunks: chunks, ChunkBytes: chunkBytes}
	s.publisher.PublishConfiguration(hub.Configuration{Version: 1, Services: []hub.Service{
		{Name: "s", Engine: model}, {Name: "o", Origin: &hub.Origin{Address: "origin", BytesPerSecond: 1 << 30}},
	}})
	s.setTarget(0)
	return s
}

// setTarget makes version the target, or removes the target for 0.
func (s *side) setTarget(version uint64) {
	var d hub.Directives
	if version != 0 {
		d.Targets = []hub.ModelTarget{{Model: "m", Version: version}}
	}
	s.publisher.PublishDirectives(d)
	s.directory.Rebuild()
}
