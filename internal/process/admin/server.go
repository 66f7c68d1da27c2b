package admin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"
)

const (
	readHeaderTimeout = 5 * time.Second
	// writeTimeout allows for the recording of a CPU profile of 30 s.
	writeTimeout   = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// Server is the admin server of a process.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Start serves requests on listener until Close. ready is called for each readiness check and returns the reason why
// the process is not ready, or nil.
func Start(listener net.Listener, set *metrics.Set, ready func() error) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	s := &Server{listener: listener, http: &http.Server{
		Handler:           alice.New(noStore).Then(mux),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	go func() { _ = s.http.Serve(listener) }()
	return s
}

// noStore adds a header to responses that prevents caches from storing them, because they describe the current state.
func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the listener and waits for requests in progress until ctx is done.
func (s *Server) Close(ctx context.Context) {
	_ = s.http.Shutdown(ctx)
}
