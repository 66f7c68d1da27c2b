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

// published is a weight source whose content may differ between two readers.
type published struct {
	encoded []byte
	// asked is closed once the manifest has been asked for; it is answered when resume is closed.
	asked  chan struct{}
	resume chan struct{}
}

func (p *published) Manifest(context.Context, string) ([]byte, error) {
	if p.asked != nil {
		close(p.asked)
		<-p.resume
	}
	return p.encoded, nil
}

func (p *published) Read(context.Context, string, int64, int64) (io.ReadCloser, error) {
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
	return s, store.New(server.URL, nil)
}

func TestReplyOfThePinLost(t *testing.T) {
	s, kvStore := withTestStore(t)
	r := NewRegistrar(kvStore, []hub.WeightSource{&published{encoded: encode(t, "content")}})
	s.LoseReplies(1)
	result, err := r.Ensure(t.Context(), "v@1", nil)
	assert.NilError(t, err)
	assert.Assert(t, result.Encoded != nil)
	again, err := r.Ensure(t.Context(), "v@1", nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Pin, result.Pin)
	assert.Equal(t, s.Counts().Writes, uint64(1))
}

// TestPausedProcessWakes lets a process read one content, pause, and wake after another content was pinned.
func TestPausedProcessWakes(t *testing.T) {
	_, kvStore := withTestStore(t)
	slow := &published{encoded: encode(t, "old content"), asked: make(chan struct{}), resume: make(chan struct{})}
	var late Result
	var lateErr error
	var running sync.WaitGroup
	running.Go(func() {
		late, lateErr = NewRegistrar(kvStore, []hub.WeightSource{slow}).Ensure(t.Context(), "v@1", nil)
	})
	<-slow.asked
	first, err := NewRegistrar(kvStore, []hub.WeightSource{&published{encoded: encode(t, "new content")}}).Ensure(t.Context(), "v@1", nil)
	assert.NilError(t, err)
	close(slow.resume)
	running.Wait()
	assert.NilError(t, lateErr)
	assert.Equal(t, late.Pin.Root, first.Pin.Root)
	assert.Assert(t, late.Encoded == nil, "a manifest that is not the pinned one was returned")
}

func TestPinsInUseAreKept(t *testing.T) {
	var pins []hub.Pin
	for range maxPins {
		pins = append(pins, hub.Pin{Version: "old@1"})
	}
	pins[0].Version = "used@1"
	kept := dropOldest(pins, []string{"used@1"})
	assert.Equal(t, len(kept), maxPins-1)
	assert.Equal(t, kept[0].Version, "used@1")
}
