package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// pipes connects a handler to test upstreams through pipes, so that a test may run with the runtime's fake clock.
type pipes struct {
	upstreams map[string]*upstream
	scripts   map[string]script

	mu    sync.Mutex
	conns []net.Conn
}

func withTestPipes(t *testing.T) *pipes {
	t.Helper()
	p := &pipes{upstreams: map[string]*upstream{}, scripts: map[string]script{}}
	t.Cleanup(p.close)
	return p
}

// upstream returns an upstream that handles requests by s.
func (p *pipes) upstream(s script) *upstream {
	address := fmt.Sprintf("127.0.0.1:%d", len(p.upstreams)+1)
	u := &upstream{address: address, closed: make(chan struct{}, 16)}
	p.upstreams[address], p.scripts[address] = u, s
	return u
}

func (p *pipes) dial(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, near, far)
	go p.upstreams[address].serve(far, p.scripts[address])
	return near, nil
}

func (p *pipes) close() {
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
