package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const testTimeout = 20 * time.Second

// fixture is a server with the handler under test.
type fixture struct {
	server *httptest.Server
	// client sends the requests of callers.
	client    *http.Client
	publisher desired.Publisher
	directory *directory.Directory
	placement *placement.Placement

	quarantine *quarantine.Quarantine
}

// fixtureOptions replace parts of a fixture. Nil fields select the default.
type fixtureOptions struct {
	pool *channel.Pool
	// serve starts the server.
	serve func(http.Handler) *httptest.Server
	// limit changes the options of the handler.
	limit func(*forward.Options)
}

// withTestEntry starts a server with the routes once, many, slow, stream and bound on host h.test, and lists upstreams
// as the service of all of them.
func withTestEntry(t *testing.T, upstreams ...*upstream) *fixture {
	t.Helper()
	return withFixtureOptions(t, fixtureOptions{}, upstreams...)
}

// withTestPool is withTestEntry with a given pool of connections.
func withTestPool(t *testing.T, pool *channel.Pool, upstreams ...*upstream) *fixture {
	t.Helper()
	return withFixtureOptions(t, fixtureOptions{pool: pool}, upstreams...)
}

// withLimitedEntry is withTestEntry with options that limit changes and a server that serve starts.
func withLimitedEntry(t *testing.T, serve func(http.Handler) *httptest.Server, limit func(*forward.Options), upstreams ...*upstream) *fixture {
	t.Helper()
	return withFixtureOptions(t, fixtureOptions{serve: serve, limit: limit}, upstreams...)
}

func withFixtureOptions(t *testing.T, fo fixtureOptions, upstreams ...*upstream) *fixture {
	t.Helper()
	if fo.pool == nil {
		fo.pool = channel.NewPool(socket.Dialer(testTimeout))
	}
	if fo.serve == nil {
		fo.serve = func(h http.Handler) *httptest.Server { return httptest.NewServer(h) }
	}
	log := journal.Discard().Logger(journal.Routing)
	c := catalog.New(1)
	f := &fixture{client: http.DefaultClient, publisher: desired.Publisher{Catalog: c}}
	f.directory = directory.New(directory.Options{Catalog: c, Decoder: desired.Decoder{}, Regions: map[string]string{"a": "north", "b": "south"}, Log: log})
	f.placement = placement.New(placement.Options{
		Directory: f.directory, Domain: "a", Region: "north",
		SwitchBound: func() time.Duration { return time.Hour }, Entries: func() int { return 1 },
		Connections: fo.pool.Allowed,
		RateShare:   func(_ string, limit float64) float64 { return limit },
		Concurrency: concurrency.Settings{Enabled: true, InitialShare: 0.25},
	})
	set := metrics.NewSet()
	f.quarantine = quarantine.New(quarantine.Options{Log: log, Metrics: set})
	o := forward.Options{
		Quarantine:  f.quarantine,
		Directory:   f.directory,
		Ready:       func() bool { return f.directory.Current().Ready() },
		Placement:   f.placement,
		Pool:        fo.pool,
		RetryBudget: allowance.NewRetryBudget(10*time.Second, func() allowance.Bounds { return allowance.Bounds{Ratio: 0.2, Slack: 10} }, func() int { return 1 }),
		Format:      desired.CallFormat{},
		Log:         log,
		Metrics:     set,
	}
	if fo.limit != nil {
		fo.limit(&o)
	}
	f.server = fo.serve(forward.New(o))
	t.Cleanup(f.server.Close)
	f.configure("k1")
	f.list(upstreams, false)
	return f
}

// configure publishes the routes and an account with one key.
func (f *fixture) configure(key string) {
	route := func(name string, kind hub.RouteKind, attempts int, timeout, objective time.Duration) hub.Route {
		return hub.Route{
			Name: name, Host: "h.test", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts,
			Timeout: timeout, Objective: objective, Targets: []hub.Target{{Service: "s", Weight: 1}},
		}
	}
	stream := route("stream", hub.Stream, 2, 8*time.Second, 5*time.Second)
	stream.Resumable, stream.MaxPause = true, 300*time.Millisecond
	regional := route("bound", hub.Idempotent, 2, time.Second, 100*time.Millisecond)
	regional.Regions = []string{"south"}
	f.publisher.PublishConfiguration(hub.Configuration{
		Version: 1,
		Routes: []hub.Route{
			route("once", hub.AtMostOnce, 1, 1500*time.Millisecond, time.Second),
			route("many", hub.Idempotent, 2, 5*time.Second, 5*time.Second),
			route("slow", hub.Idempotent, 2, 8*time.Second, 50*time.Millisecond),
			stream, regional,
		},
		Services: []hub.Service{{Name: "s"}},
		Accounts: []hub.Account{{Name: "acme", Keys: []string{key}}},
		Limits:   hub.RequestLimits{MaxBodyBytes: 1000},
	})
	f.refresh()
}

// extendTimeouts gives all routes a timeout that only a hang reaches. Tests in which no request is to time out use it, because
// each of their requests may take seconds on a busy machine.
func (f *fixture) extendTimeouts() {
	c := *f.directory.Current().Configuration
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		c.Routes[i].Timeout = testTimeout
	}
	f.publisher.PublishConfiguration(c)
	f.refresh()
}

func (f *fixture) list(upstreams []*upstream, leaving bool) {
	var instances []hub.Instance
	for i, u := range upstreams {
		instances = append(instances, hub.Instance{
			Id: fmt.Sprintf("i%d", i), Service: "s", Address: u.address, Domain: "a", Slots: 4, Leaving: leaving, Born: int64(i + 1),
		})
	}
	f.publisher.PublishUpstreams(instances...)
	f.refresh()
}

func (f *fixture) refresh() {
	f.directory.Rebuild()
	f.placement.Refresh()
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) call(ctx context.Context, t *testing.T, method, path string, header http.Header) reply {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader("body"))
	assert.NilError(t, err)
	r.Host = "h.test"
	r.Header = http.Header{desired.HeaderKey: {"k1"}, desired.HeaderRequestId: {"req-1"}}
	for name, values := range header {
		r.Header[name] = values
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (f *fixture) post(t *testing.T, path string) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return f.call(ctx, t, http.MethodPost, path, nil)
}
