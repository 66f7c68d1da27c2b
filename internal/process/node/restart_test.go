package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/listing"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// slowSource is a store that answers the first calls only once released, with one configuration and no upstreams.
type slowSource struct {
	released chan struct{}
	items    map[string][]hub.Item
}

func (s *slowSource) List(ctx context.Context, prefix string) (hub.Listing, error) {
	select {
	case <-s.released:
		return hub.Listing{Items: s.items[prefix], Revision: 10}, nil
	case <-ctx.Done():
		return hub.Listing{}, ctx.Err()
	}
}

func (s *slowSource) Follow(ctx context.Context, _ string, _ uint64, wait time.Duration) (hub.Listing, error) {
	_ = hub.Sleep(ctx, wait)
	return hub.Listing{Revision: 10}, nil
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return data
}

// configuration returns a desired state with one public route and one account with the given key.
func configuration(version uint64, key string) hub.Configuration {
	return hub.Configuration{
		Version:  version,
		Routes:   []hub.Route{{Name: "r", Host: "h.test", PathPrefix: "/", Timeout: time.Second, Targets: []hub.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
		Services: []hub.Service{{Name: "s"}},
		Accounts: []hub.Account{{Name: "acme", Keys: []string{key}}},
	}
}

// startTestEntry starts an entry process that reads the given store.
func startTestEntry(t *testing.T, source hub.StateSource) *Entry {
	t.Helper()
	s := settings.DefaultNode()
	s.Id, s.Domain, s.Region = "e", "d", "r"
	s.Listen, s.ReadyListen, s.ControlListen, s.ReportListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	p := Platform{Decoder: desired.Decoder{}, Format: desired.CallFormat{}, Store: func(string, socket.DialFunc) hub.StateSource { return source }}
	e, err := StartEntry(s, journal.Discard(), p)
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		e.Stop(ctx)
	})
	return e
}

// A process restarts while a key was withdrawn and an upstream has left. Its peers have missed that, and it hears them
// before the store answers: it must not serve by what they know.
func TestRestartedEntryAsksTheStoreBeforeItServes(t *testing.T) {
	source := &slowSource{released: make(chan struct{}), items: map[string][]hub.Item{
		desired.OperatorPrefix: {{Key: desired.ConfigurationKey, Value: encode(t, configuration(2, "new")), Revision: 9}},
	}}
	e := startTestEntry(t, source)
	old := hub.Instance{Id: "i", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 1, Born: 1}
	e.catalog.PutDocument(hub.Document{Name: mirror.DocumentConfiguration, Revision: 3, Value: encode(t, configuration(1, "withdrawn"))})
	e.catalog.PutDocument(hub.Document{Name: mirror.DocumentUpstreams, Revision: 4, Value: encode(t, []listing.Entry{{Key: desired.UpstreamPrefix + "i", Value: encode(t, old), Revision: 4}})})
	for !e.directory.Current().Ready() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, e.checkReady() != nil, "ready by what peers know, before the store has answered")
	close(source.released)
	for e.checkReady() != nil {
		time.Sleep(time.Millisecond)
	}
	s := e.directory.Current()
	assert.Equal(t, s.Configuration.Version, uint64(2))
	assert.Assert(t, s.Account("withdrawn") == nil)
	assert.Equal(t, len(s.Service("s").Upstreams), 0)
}

// While the store does not answer, a process serves by what its peers know.
func TestEntryServesByItsPeersDuringAnOutage(t *testing.T) {
	e := startTestEntry(t, &slowSource{released: make(chan struct{})})
	e.catalog.PutDocument(hub.Document{Name: mirror.DocumentConfiguration, Revision: 3, Value: encode(t, configuration(1, "k"))})
	e.catalog.PutDocument(hub.Document{Name: mirror.DocumentUpstreams, Revision: 4, Value: []byte("[]")})
	w := httptest.NewRecorder()
	e.handleReady(w, nil)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	deadline := time.Now().Add(10 * storeGrace)
	for e.checkReady() != nil && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, e.checkReady())
}
