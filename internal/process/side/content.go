package side

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// contentPath is the URL path for downloads of weights; the root digest follows it.
const contentPath = "/weights/"

const (
	contentHeaderTimeout = 5 * time.Second
	// contentIdleTimeout is the time after which an unused connection is closed.
	contentIdleTimeout = time.Minute
	// contentSendTimeout is the time within which the engine must accept 16 KiB. It may pause while it copies weights.
	contentSendTimeout = 2 * time.Minute
	// maxContentConnections and the limits of headers exceed what one engine needs.
	maxContentConnections = 32
	maxContentHeaderBytes = 4 << 10
	contentHeaderBudget   = 2 << 20
)

// limitContent returns a listener with the limits for downloads of weights.
func limitContent(inner net.Listener, set *metrics.Set, l *log.Logger) (*listener.Listener, error) {
	headers, err := listener.NewBudget("content-headers", contentHeaderBudget, set)
	if err != nil {
		return nil, fmt.Errorf("limit content requests: %w", err)
	}
	limited, err := listener.New(inner, listener.Options{
		Name: "content", MaxConnections: maxContentConnections, HTTP: true, Headers: headers,
		WriteTimeout: contentSendTimeout, Metrics: set, Log: l,
	})
	if err != nil {
		return nil, fmt.Errorf("limit content connections: %w", err)
	}
	return limited, nil
}

// newContentServer returns the HTTP server from which the engine downloads weights. It serves only complete weights
// whose root digest has been verified. The connection of a caller that names such weights is not closed in favour of others.
func newContentServer(cache *replica.Cache, l *listener.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+contentPath+"{root}", func(w http.ResponseWriter, r *http.Request) {
		held, err := cache.Find(r.PathValue("root"))
		if err != nil || !held.Sealed() {
			http.Error(w, "weights are not held whole", http.StatusNotFound)
			return
		}
		if conn := listener.FromContext(r.Context()); conn != nil {
			conn.Keep()
		}
		w.Header().Set("Content-Length", strconv.FormatInt(held.Manifest.Size, 10))
		if _, err := held.WriteTo(w); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: contentHeaderTimeout, IdleTimeout: contentIdleTimeout, MaxHeaderBytes: maxContentHeaderBytes,
		ConnState: l.ConnState, ConnContext: l.ConnContext,
	}
}
