package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/desired"
)

// script handles one request at a test upstream; the connection is closed when it returns false.
type script func(r *http.Request, c net.Conn) bool

// upstream is a test upstream that handles requests by a script and records them.
type upstream struct {
	listener net.Listener
	address  string

	mu       sync.Mutex
	requests []*http.Request
	// closed receives a value when a connection has been closed.
	closed chan struct{}
}

func withTestUpstream(t *testing.T, s script) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{listener: listener, address: listener.Addr().String(), closed: make(chan struct{}, 16)}
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
	defer func() { _ = c.Close(); u.closed <- struct{}{} }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.requests = append(u.requests, r)
		u.mu.Unlock()
		if !s(r, c) {
			return
		}
	}
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

func (u *upstream) request(i int) *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[i]
}

func id(r *http.Request) string { return r.Header.Get(desired.HeaderRequestId) }

func head(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %03d X\r\nRequest-Id: %s\r\nSignature: s\r\n%s", status, id(r), more)
}

func respond(status int, body string) script {
	return func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r, status, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
		return true
	}
}

// refuse refuses a request like an upstream without a free slot.
func refuse(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nRequest-Id: "+id(r)+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// drop closes the connection without a response.
func drop(*http.Request, net.Conn) bool { return false }

// events streams the events up to last, starting after the request's Last-Event-Id. Then it ends the response, or if
// complete is false, closes the connection within the next event.
func events(last int, complete bool) script {
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
		if !complete {
			_, _ = io.WriteString(c, "5\r\nid: 9\r\n")
			return false
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

func completeStream(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// misdirect refuses a request like an upstream that does not hold the version with which it is listed.
func misdirect(r *http.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 421 X\r\nRequest-Id: "+id(r)+"\r\nContent-Length: 0\r\n\r\n")
	return true
}
