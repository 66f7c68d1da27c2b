package forward_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/allowance"
	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
	"github.com/oriolehub/oriolehub/platform"
)

const testTimeout = 20 * time.Second

// script answers one request at an upstream; the connection is closed when it returns false.
type script func(r *http.Request, c net.Conn) bool

// upstream is a scripted upstream that remembers what reached it.
type upstream struct {
	address string

	mu       sync.Mutex
	arrivals []*http.Request
	ended    chan struct{}
}

func withTestUpstream(t *testing.T, s script) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{address: listener.Addr().String(), ended: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c, s)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, s script) {
	defer func() { _ = c.Close(); u.ended <- struct{}{} }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.arrivals = append(u.arrivals, r)
		u.mu.Unlock()
		if !s(r, c) {
			return
		}
	}
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

func (u *upstream) arrival(i int) *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivals[i]
}

func id(r *http.Request) string { return r.Header.Get("X-Oriolehub-Attempt-Id") }

func head(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Oriolehub-Attempt-Id: %s\r\nX-Oriolehub-Server-Signature: s\r\n%s", status, id(r), more)
}

func answer(status int, body string) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, status, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
		return true
	}
}

// full refuses as upstreams do that have no place.
func full(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nX-Oriolehub-Attempt-Id: "+id(r)+"\r\nX-Oriolehub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// drop ends the connection without an answer.
func drop(*http.Request, net.Conn) bool { return false }

// events streams the events from first to last and ends the answer as whole, or breaks off.
func events(last int, whole bool) script {
	return func(r *http.Request, c net.Conn) bool {
		first := 1
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		if r.Header.Get("Last-Event-Id") != "" {
			first++
		}
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := first; i <= last; i++ {
			e := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if !whole {
			_, _ = io.WriteString(c, "5\r\nid: 9\r\n")
			return false
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

func wholeStream(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// fixture is an entry process's path of a request before scripted upstreams.
type fixture struct {
	t         *testing.T
	server    *httptest.Server
	catalog   *catalog.Catalog
	directory *directory.Directory
	placement *placement.Placement
	revision  uint64
}

// withTestEntry serves the routes once, many, stream and bound on host h.test.
func withTestEntry(t *testing.T, upstreams ...*upstream) *fixture {
	t.Helper()
	log := journal.Discard().Logger(journal.Routing)
	f := &fixture{t: t, catalog: catalog.New(1), revision: 10}
	f.directory = directory.New(directory.Options{Catalog: f.catalog, Decoder: platform.Decoder{}, Regions: map[string]string{"a": "north", "b": "south"}, Log: log})
	f.placement = placement.New(placement.Options{Directory: f.directory, Domain: "a", Region: "north", SwitchBound: func() time.Duration { return time.Hour }, Entries: func() int { return 1 }})
	handler := forward.New(forward.Options{
		Directory: f.directory,
		Placement: f.placement,
		Pool:      channel.NewPool(socket.Dialer(testTimeout)),
		Repeats:   allowance.NewRepeats(10*time.Second, func() allowance.Bounds { return allowance.Bounds{Ratio: 0.2, Slack: 10} }, func() int { return 1 }),
		Format:    platform.CallFormat{},
		Log:       log,
		Metrics:   metrics.NewSet(),
	})
	f.server = httptest.NewServer(handler)
	t.Cleanup(f.server.Close)
	f.configure(5, testRoutes, `[{"name":"acme","api_keys":["k1"],"allowed_regions":[]}]`)
	f.list(upstreams, "ready")
	return f
}

const testRoutes = `[
 {"name":"once","host":"h.test","path_prefix":"/once/","route_kind":"non_idempotent","timeout_ms":1500,"goal_ms":1000,"service":"s","max_attempts":1},
 {"name":"many","host":"h.test","path_prefix":"/many/","route_kind":"idempotent","timeout_ms":5000,"goal_ms":5000,"service":"s","max_attempts":2},
 {"name":"slow","host":"h.test","path_prefix":"/slow/","route_kind":"idempotent","timeout_ms":8000,"goal_ms":50,"service":"s","max_attempts":2},
 {"name":"stream","host":"h.test","path_prefix":"/stream/","route_kind":"streaming","timeout_ms":8000,"goal_ms":5000,"gap_target_ms":300,"service":"s","max_attempts":2,"resumable":true},
 {"name":"bound","host":"h.test","path_prefix":"/bound/","route_kind":"idempotent","timeout_ms":1000,"goal_ms":100,"service":"s","max_attempts":2,"allowed_regions":["south"]}]`

func (f *fixture) configure(version int, routes, accounts string) {
	f.t.Helper()
	f.revision++
	value := fmt.Sprintf(`{"version":%d,"routes":%s,"services":[{"name":"s"}],"limits":{"max_body_bytes":1000},"tenants":%s}`, version, routes, accounts)
	f.catalog.PutDocument(hub.Document{Name: mirror.DocumentConfiguration, Revision: f.revision, Value: []byte(value)})
	f.directory.Rebuild()
	f.placement.Refresh()
}

func (f *fixture) list(upstreams []*upstream, state string) {
	f.t.Helper()
	f.revision++
	var entries []mirror.Entry
	for i, u := range upstreams {
		value := fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","slots":4,"state":%q,"born":%d}`, u.address, state, i+1)
		entries = append(entries, mirror.Entry{Key: fmt.Sprintf("servers/i%d", i), Value: []byte(value), Revision: f.revision})
	}
	data, err := json.Marshal(entries)
	assert.NilError(f.t, err)
	f.catalog.PutDocument(hub.Document{Name: mirror.DocumentUpstreams, Revision: f.revision, Value: data})
	f.directory.Rebuild()
	f.placement.Refresh()
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) call(ctx context.Context, method, path string, header http.Header) reply {
	f.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader("body"))
	assert.NilError(f.t, err)
	r.Host = "h.test"
	r.Header = http.Header{"Authorization": {"Bearer k1"}, "X-Oriolehub-Attempt-Id": {"req-1"}}
	for name, values := range header {
		r.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (f *fixture) post(path string) reply {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return f.call(ctx, http.MethodPost, path, nil)
}

func TestRequestReachesAnUpstreamUnchanged(t *testing.T) {
	u := withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, u)
	got := f.call(context.Background(), http.MethodPost, "/once/a%2Fb?x=1&y=%20", http.Header{
		"X-Oriolehub-Tenant-Id": {"forged"}, "X-Oriolehub-Deadline-Ms": {"900"}, "X-Other": {"kept"},
	})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "done")
	assert.Equal(t, got.header.Get("X-Oriolehub-Server-Signature"), "s")
	r := u.arrival(0)
	assert.Equal(t, r.RequestURI, "/once/a%2Fb?x=1&y=%20")
	assert.Equal(t, r.Host, "h.test")
	assert.Equal(t, r.Header.Get("Authorization"), "")
	assert.Equal(t, r.Header.Get("X-Oriolehub-Tenant-Id"), "acme")
	assert.Equal(t, r.Header.Get("X-Oriolehub-Expected-Instance"), "i0")
	assert.Equal(t, r.Header.Get("X-Other"), "kept")
	var left int
	_, err := fmt.Sscan(r.Header.Get("X-Oriolehub-Deadline-Ms"), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 900, left)
}

func TestWhatIsNotAllowedIsDenied(t *testing.T) {
	u := withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, u)
	assert.Equal(t, f.post("/none/").status, 404)
	got := f.call(context.Background(), http.MethodPost, "/once/", http.Header{"Authorization": {"Bearer other"}})
	assert.Equal(t, got.status, 401)
	f.configure(6, testRoutes, `[{"name":"acme","api_keys":["k2"],"allowed_regions":[]}]`)
	assert.Equal(t, f.post("/once/").status, 401)
	assert.Equal(t, u.count(), 0)
}

// A request that may run once and whose answer is lost is never sent again, and not called not run.
func TestLostAnswerOfOnceIsUnknown(t *testing.T) {
	a, b := withTestUpstream(t, drop), withTestUpstream(t, drop)
	f := withTestEntry(t, a, b)
	got := f.post("/once/")
	assert.Equal(t, got.status, 502)
	assert.Equal(t, got.header.Get("X-Oriolehub-Server-Signature"), "")
	assert.Equal(t, a.count()+b.count(), 1)
}

// A refusal of an upstream says that it did not run, so that even a request that may run once goes elsewhere.
func TestRefusedOnceGoesElsewhere(t *testing.T) {
	a, b := withTestUpstream(t, full), withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, a, b)
	for range 6 {
		got := f.post("/once/")
		assert.Equal(t, got.status, 200, got.body)
	}
}

func TestRefusedByAllIsNotRun(t *testing.T) {
	a, b := withTestUpstream(t, full), withTestUpstream(t, full)
	f := withTestEntry(t, a, b)
	got := f.post("/once/")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestLostAnswerOfIdempotentIsAskedAgain(t *testing.T) {
	a, b := withTestUpstream(t, drop), withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, a, b)
	for range 4 {
		assert.Equal(t, f.post("/many/").status, 200)
	}
}

// Where every upstream fails, the caller is given an upstream's own answer.
func TestFailureIsPassedOnWithItsSignature(t *testing.T) {
	a, b := withTestUpstream(t, answer(500, "bad")), withTestUpstream(t, answer(500, "bad"))
	f := withTestEntry(t, a, b)
	got := f.post("/many/")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "bad")
	assert.Equal(t, got.header.Get("X-Oriolehub-Server-Signature"), "s")
	assert.Equal(t, a.count()+b.count(), 2)
}

func TestSuccessWithoutSignatureIsNotPassedOn(t *testing.T) {
	forged := func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nX-Oriolehub-Attempt-Id: "+id(r)+"\r\nContent-Length: 2\r\n\r\nno")
		return true
	}
	f := withTestEntry(t, withTestUpstream(t, forged))
	assert.Equal(t, f.post("/once/").status, 502)
}

func TestLeavingUpstreamsGetNothing(t *testing.T) {
	u := withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, u)
	f.list([]*upstream{u}, "draining")
	assert.Equal(t, f.post("/many/").status, 503)
	assert.Equal(t, u.count(), 0)
}

func TestHomesBind(t *testing.T) {
	u := withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, u)
	assert.Equal(t, f.post("/bound/").status, 503)
	assert.Equal(t, u.count(), 0)
}

func TestRouteTimeoutIsAnsweredInTime(t *testing.T) {
	u := withTestUpstream(t, func(*http.Request, net.Conn) bool { time.Sleep(testTimeout); return false })
	f := withTestEntry(t, u)
	got := f.post("/once/")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 504)
}

func TestSlowIdempotentIsAskedElsewhere(t *testing.T) {
	hang := func(_ *http.Request, c net.Conn) bool { _, _ = c.Read(make([]byte, 1)); return false }
	a, b := withTestUpstream(t, hang), withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, a, b)
	for range 4 {
		assert.Equal(t, f.post("/slow/").status, 200)
	}
}

func TestStreamGoesOnElsewhereAfterACut(t *testing.T) {
	a, b := withTestUpstream(t, events(3, false)), withTestUpstream(t, events(3, false))
	whole := withTestUpstream(t, events(6, true))
	f := withTestEntry(t, a, whole)
	for range 4 {
		got := f.post("/stream/")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wholeStream(6))
	}
	f.list([]*upstream{a, b}, "ready")
	got := f.post("/stream/")
	assert.Assert(t, got.err != nil, "a stream that is not whole must not look whole: %q", got.body)
	assert.Equal(t, got.body, wholeStream(3))
}

func TestCallerGoneEndsTheAttempt(t *testing.T) {
	arrived := make(chan struct{})
	u := withTestUpstream(t, func(_ *http.Request, c net.Conn) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	f := withTestEntry(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	got := f.call(ctx, http.MethodPost, "/once/", nil)
	assert.Assert(t, got.err != nil)
	select {
	case <-u.ended:
	case <-time.After(testTimeout):
		t.Fatal("the upstream still works for a caller that has left")
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	u := withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, u)
	r, err := http.NewRequest(http.MethodPost, f.server.URL+"/many/", strings.NewReader(strings.Repeat("x", 2000)))
	assert.NilError(t, err)
	r.Host = "h.test"
	r.Header.Set("Authorization", "Bearer k1")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, u.count(), 0)
}

// An address that answers for another lifetime is left alone until that lifetime is heard of again.
func TestWrongInstanceIsAskedOnce(t *testing.T) {
	other := withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 421 X\r\nX-Oriolehub-Attempt-Id: "+id(r)+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	good := withTestUpstream(t, answer(200, "done"))
	f := withTestEntry(t, other, good)
	for range 20 {
		assert.Equal(t, f.post("/once/").status, 200)
	}
	assert.Assert(t, other.count() <= 1, "%d requests reached the wrong instance", other.count())
}
