package pin

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/standin/kv"
	"github.com/oriolehub/oriolehub/internal/state/store"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

// fakeSource is a weight source that publishes one manifest. Two sources with different manifests simulate a version
// that is republished between two reads.
type fakeSource struct {
	encoded []byte
	// requested is closed when the manifest is requested; the request then blocks until resume is closed.
	// If nil, requests do not block.
	requested chan struct{}
	resume    chan struct{}
}

func (f *fakeSource) Manifest(context.Context, string) ([]byte, error) {
	if f.requested != nil {
		close(f.requested)
		<-f.resume
	}
	return f.encoded, nil
}

func (f *fakeSource) Read(context.Context, string, int64, int64) (io.ReadCloser, error) {
	return nil, hub.ErrNotFound
}

func encode(t *testing.T, content string) []byte {
	t.Helper()
	m, err := manifest.Build("v@1", strings.NewReader(content), manifest.MinChunkBytes)
	assert.NilError(t, err)
	encoded, err := m.Encode()
	assert.NilError(t, err)
	return encoded
}

func withTestStore(t *testing.T) (*kv.Server, hub.Store) {
	t.Helper()
	s := kv.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, store.New(server.URL)
}

// TestEnsureAfterLostReply guards against a second write, or a result without the manifest, when the pin was written
// but the store's reply got lost.
func TestEnsureAfterLostReply(t *testing.T) {
	s, kvStore := withTestStore(t)
	r := NewRegistrar(kvStore, []hub.WeightSource{&fakeSource{encoded: encode(t, "content")}})
	s.LoseReplies(1)
	result, err := r.Ensure(t.Context(), "v@1", nil)
	assert.NilError(t, err)
	assert.Assert(t, result.Encoded != nil)
	again, err := r.Ensure(t.Context(), "v@1", nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Pin, result.Pin)
	assert.Equal(t, s.Counts().Writes, uint64(1))
}

// TestPausedProcessReturnsExistingPin guards against a process that reads the manifest, is paused while another process
// pins a republished manifest, and then returns its own manifest as the pinned one.
func TestPausedProcessReturnsExistingPin(t *testing.T) {
	_, kvStore := withTestStore(t)
	slow := &fakeSource{encoded: encode(t, "old content"), requested: make(chan struct{}), resume: make(chan struct{})}
	var late Result
	var lateErr error
	var running sync.WaitGroup
	running.Go(func() {
		late, lateErr = NewRegistrar(kvStore, []hub.WeightSource{slow}).Ensure(t.Context(), "v@1", nil)
	})
	<-slow.requested
	first, err := NewRegistrar(kvStore, []hub.WeightSource{&fakeSource{encoded: encode(t, "new content")}}).Ensure(t.Context(), "v@1", nil)
	assert.NilError(t, err)
	close(slow.resume)
	running.Wait()
	assert.NilError(t, lateErr)
	assert.Equal(t, late.Pin.Root, first.Pin.Root)
	assert.Assert(t, late.Encoded == nil, "returned a manifest other than the pinned one")
}

// TestPinsInUseAreKept guards against a full table from which a pin that is still in use is deleted.
func TestPinsInUseAreKept(t *testing.T) {
	var pins []hub.Pin
	for range maxPins {
		pins = append(pins, hub.Pin{Version: "old@1"})
	}
	pins[0].Version = "used@1"
	kept := deleteOldest(pins, []string{"used@1"})
	assert.Equal(t, len(kept), maxPins-1)
	assert.Equal(t, kept[0].Version, "used@1")
}
