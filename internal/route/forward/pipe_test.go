package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// pipes connects callers, a server and test upstreams through pipes, so that a test may run with the runtime's fake clock.
type pipes struct {
	upstreams map[string]*upstream
	scripts   map[string]script
	// accepted passes the connections of callers to the server, closed is closed when that is to end.
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	// dialTime is the time that a connection to an upstream takes.
	dialTime time.Duration

	mu    sync.Mutex
	conns []net.Conn
}

func withTestPipes(t *testing.T) *pipes {
	t.Helper()
	p := &pipes{upstreams: map[string]*upstream{}, scripts: map[string]script{}, accepted: make(chan net.Conn), closed: make(chan struct{})}
	t.Cleanup(p.closeAll)
	return p
}

// withPipedEntry is withTestEntry with connections through p to upstreams of p.
func withPipedEntry(t *testing.T, p *pipes, upstreams ...*upstream) *fixture {
	t.Helper()
	return withPipedServer(t, p, p.serve, upstreams...)
}

// withPipedServer is withPipedEntry with a server that serve starts for the connections of p.
func withPipedServer(t *testing.T, p *pipes, serve func(http.Handler) *httptest.Server, upstreams ...*upstream) *fixture {
	t.Helper()
	f := withFixtureOptions(t, fixtureOptions{pool: channel.NewPool(p.dial), serve: serve}, upstreams...)
	f.client = p.client(t)
	return f
}

// client returns a client that connects to the server of p.
func (p *pipes) client(t *testing.T) *http.Client {
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return p.connect() }}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// upstream returns an upstream that handles requests by s.
func (p *pipes) upstream(s script) *upstream {
	address := fmt.Sprintf("127.0.0.1:%d", len(p.upstreams)+1)
	u := &upstream{address: address, closed: make(chan struct{}, 16)}
	p.upstreams[address], p.scripts[address] = u, s
	return u
}

func (p *pipes) dial(_ context.Context, address string) (net.Conn, error) {
	time.Sleep(p.dialTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[address]
	if u == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	p.conns = append(p.conns, near, far)
	go u.serve(far, p.scripts[address])
	return near, nil
}

// stop makes the upstream with an address accept no more connections.
func (p *pipes) stop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, address)
}

// serve starts a server for the connections of callers.
func (p *pipes) serve(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = p
	s.Start()
	return s
}

// connect returns a caller's connection to the server.
func (p *pipes) connect() (net.Conn, error) {
	caller, server := net.Pipe()
	select {
	case p.accepted <- server:
		return caller, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// closeAll closes the connections to upstreams.
func (p *pipes) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// keepHandler returns a function that stores the handler of a fixture in h instead of starting a server for it.
func keepHandler(h *http.Handler) func(http.Handler) *httptest.Server {
	return func(handler http.Handler) *httptest.Server {
		*h = handler
		return httptest.NewUnstartedServer(handler)
	}
}

// recorder records a response. Writing the body waits until hold is closed, if it is not nil.
type recorder struct {
	*httptest.ResponseRecorder
	hold <-chan struct{}
}

func newRecorder() *recorder { return &recorder{ResponseRecorder: httptest.NewRecorder()} }

func (r *recorder) Write(p []byte) (int, error) {
	if r.hold != nil {
		<-r.hold
	}
	return r.ResponseRecorder.Write(p)
}

// SetReadDeadline makes the recorder usable for requests with a body, which a recorder does not read.
func (r *recorder) SetReadDeadline(time.Time) error { return nil }

// testRequest returns a request for path as a server passes it to a handler.
func testRequest(path string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://h.test"+path, nil)
	r.Header = http.Header{desired.HeaderKey: {"k1"}, desired.HeaderRequestId: {"req-1"}}
	return r
}
