package admin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	readHeaderTimeout = 5 * time.Second
	// writeTimeout allows for the recording of a CPU profile of 30 s.
	writeTimeout = 60 * time.Second
	// idleTimeout allows for a scrape interval of a minute.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes and maxBodyBytes exceed what browsers, scrapers and the pprof tool send.
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 64 << 10
	// headerBudget is the memory for the request headers of all connections together.
	headerBudget = 2 << 20
	// sendTimeout is the time within which a client must accept 16 KiB of a response.
	sendTimeout = 10 * time.Second
	// socketBuffer is the size of the buffers that the kernel holds for a connection.
	socketBuffer = 64 << 10
	// closeTimeout is the time for which Close waits for requests in progress.
	closeTimeout = 100 * time.Millisecond
)

// Server is the admin server of a process.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// name labels the metrics of the listener.
const name = "admin"

// Start serves requests on listener until Close. ready is called for each readiness check and returns the reason why
// the process is not ready, or nil. At most maxConnections are open at a time.
func Start(inner net.Listener, maxConnections int, set *metrics.Set, l *log.Logger, ready func() error) (*Server, error) {
	headers, err := listener.NewBudget(name+"-headers", headerBudget, set)
	if err != nil {
		return nil, fmt.Errorf("limit admin requests: %w", err)
	}
	limited, err := listener.New(inner, listener.Options{
		Name: name, MaxConnections: maxConnections, HTTP: true, Headers: headers,
		WriteTimeout: sendTimeout, SocketBuffer: socketBuffer, Metrics: set, Log: l,
	})
	if err != nil {
		return nil, fmt.Errorf("limit admin connections: %w", err)
	}
	s := &Server{listener: limited, http: &http.Server{
		Handler:           alice.New(noStore, limitBody).Then(newMux(set, ready)),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limited.ConnState,
		ConnContext:       limited.ConnContext,
	}}
	go func() { _ = s.http.Serve(limited) }()
	return s, nil
}

// newMux returns the handler of all paths.
func newMux(set *metrics.Set, ready func() error) *http.ServeMux {
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
	// Profiles are large and take long: one is recorded at a time.
	profiles := &slot{}
	for path, handler := range map[string]http.HandlerFunc{
		"/debug/pprof/": pprof.Index, "/debug/pprof/cmdline": pprof.Cmdline, "/debug/pprof/profile": pprof.Profile,
		"/debug/pprof/symbol": pprof.Symbol, "/debug/pprof/trace": pprof.Trace,
	} {
		mux.HandleFunc(path, profiles.limit(handler))
	}
	return mux
}

// noStore adds a header to responses that prevents caches from storing them, because they describe the current state.
func noStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

// limitBody limits the size of request bodies and the time in which they are received.
func limitBody(next http.Handler) http.Handler {
	limited := http.MaxBytesHandler(next, maxBodyBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// A deadline that ends while a request without a body is served would cancel it.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readHeaderTimeout))
		}
		limited.ServeHTTP(w, r)
	})
}

// slot admits one request at a time.
type slot struct{ taken atomic.Bool }

// limit returns a handler that refuses a request while another one is in progress.
func (s *slot) limit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.taken.CompareAndSwap(false, true) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "another profile is being recorded", http.StatusServiceUnavailable)
			return
		}
		defer s.taken.Store(false)
		next(w, r)
	}
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the listener, waits for requests in progress for a short time and closes all connections. It waits no longer than
// until ctx is done.
func (s *Server) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
