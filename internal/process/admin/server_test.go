package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

func startTest(t *testing.T, maxConnections int) (*Server, error) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := Start(inner, maxConnections, metrics.NewSet(), nil, func() error { return nil })
	if err == nil {
		t.Cleanup(func() { s.Close(context.Background()) })
	}
	return s, err
}

func status(t *testing.T, s *Server, path string) int {
	t.Helper()
	resp, err := http.Get("http://" + s.Address() + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	// The connection is used again only if the body was read.
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

// Guards against callers that record many profiles at once, which take memory and all connections.
func TestOneProfileAtATime(t *testing.T) {
	var profiles slot
	recording, finish := make(chan struct{}), make(chan struct{})
	handler := profiles.limit(func(http.ResponseWriter, *http.Request) {
		recording <- struct{}{}
		<-finish
	})
	mux := http.NewServeMux()
	mux.HandleFunc("/", handler)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(inner) }()
	defer server.Close()
	first := make(chan int, 1)
	url := "http://" + inner.Addr().String()
	ask := func() int {
		resp, err := http.Get(url)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	go func() { first <- ask() }()
	<-recording
	assert.Equal(t, ask(), http.StatusServiceUnavailable)
	close(finish)
	assert.Equal(t, <-first, http.StatusOK)
	go func() { <-recording }()
	assert.Equal(t, ask(), http.StatusOK)
}

// Guards against limits that break the pages of the listener.
func TestPagesAreServed(t *testing.T) {
	s, err := startTest(t, 2)
	assert.NilError(t, err)
	for _, path := range []string{"/metrics", "/healthz", "/readyz", "/debug/pprof/", "/debug/pprof/heap", "/debug/pprof/profile?seconds=1"} {
		assert.Equal(t, status(t, s, path), http.StatusOK, path)
	}
}

// Guards against a listener without limits.
func TestMissingLimit(t *testing.T) {
	_, err := startTest(t, 0)
	assert.ErrorIs(t, err, listener.ErrOptions)
}
