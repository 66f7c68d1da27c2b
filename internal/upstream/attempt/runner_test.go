package attempt

import (
	"bufio"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/upstream/engine"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// withTestDropper starts an upstream that responds to the first request it receives. It reads every later request, so
// that the request may have run, and closes the connection without a response. It returns the number of requests read.
func withTestDropper(t *testing.T) (*url.URL, *atomic.Int64) {
	t.Helper()
	var read atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go dropSecond(conn, &read)
		}
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}, &read
}

func dropSecond(conn net.Conn, read *atomic.Int64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for range 2 {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if read.Add(1) == 1 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			continue
		}
		return
	}
}

// TestTransportNeverRepeatsOnceOnlyCalls sends a second request where a pooled transport would reuse the connection.
// When a reused connection breaks, the HTTP transport repeats a request that has an Idempotency-Key or a method such
// as GET; a request that must not run twice would then run twice.
func TestTransportNeverRepeatsOnceOnlyCalls(t *testing.T) {
	base, read := withTestDropper(t)
	r := NewRunner(base, true, func(int) {})
	call := &message.RunRequest{
		Method: http.MethodGet, Target: "/pay", RequestId: "r",
		Headers: []*message.Header{{Name: "Idempotency-Key", Value: "k"}},
	}
	for id, complete := range map[string]bool{"a": true} {
		a := newAttempt(id, "r", false, nil)
		assert.Equal(t, r.Run(t.Context(), a, call).Complete, complete)
	}
	a := newAttempt("b", "r", false, nil)
	sample := r.Run(t.Context(), a, call)
	assert.Assert(t, !sample.Complete)
	assert.Equal(t, a.State(), StateBroken)
	assert.Equal(t, read.Load(), int64(2), "the transport repeated the request")
}

// TestAnswerFromWrongWeightsIsNotPassedOn guards against forwarding a response that the engine produced with other
// weights than the attempt requires. The engine states the root digest of its weights in the digest header.
func TestAnswerFromWrongWeightsIsNotPassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(engine.HeaderDigest, "sha256:other")
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	a := newAttempt("a", "r", true, nil)
	a.Root = "sha256:agreed"
	r := NewRunner(&url.URL{Scheme: "http", Host: l.Addr().String()}, true, func(int) {})
	r.Run(t.Context(), a, &message.RunRequest{Method: http.MethodPost, Target: "/"})
	assert.Equal(t, a.State(), StateBroken)
}
