package listener

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

const (
	// drainInterval is the interval at which a server that is being stopped is checked for requests and connections.
	drainInterval = 10 * time.Millisecond
	// unusedTime is the time for which such a server waits for the first requests of open connections, to answer them.
	unusedTime = time.Second
)

// Requests counts the requests of an http.Server that are in progress. It is safe for concurrent use, and the zero value is ready.
type Requests struct {
	n atomic.Int64
}

// Count returns a handler that counts the requests of next.
func (r *Requests) Count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.n.Add(1)
		defer r.n.Add(-1)
		next.ServeHTTP(w, req)
	})
}

// InProgress returns the number of requests in progress.
func (r *Requests) InProgress() int64 { return r.n.Load() }

// Wait waits until no request is in progress, or returns the error of ctx once it is done.
func (r *Requests) Wait(ctx context.Context) error {
	for r.InProgress() > 0 {
		if err := hub.Sleep(ctx, drainInterval); err != nil {
			return err
		}
	}
	return nil
}

// Drain waits until no request of server is in progress, closes its connections and shuts it down, or returns the error of ctx once it
// is done. The server must serve the connections of l, which must be closed before, and answer its requests until then. Unlike
// http.Server.Shutdown, Drain does not drop requests that are received on open connections.
func (l *Listener) Drain(ctx context.Context, server *http.Server, requests *Requests) error {
	if err := requests.Wait(ctx); err != nil {
		return err
	}
	server.SetKeepAlivesEnabled(false)
	l.awaitUnused(ctx)
	// Shutdown does not know the requests on connections that were to be closed while these arrived.
	if err := requests.Wait(ctx); err != nil {
		return err
	}
	return server.Shutdown(ctx)
}

// awaitUnused waits for up to unusedTime for requests on the connections that have not been used yet, and closes what remains of these.
// http.Server.Shutdown would drop their requests and wait for them longer.
func (l *Listener) awaitUnused(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unusedTime)
	defer cancel()
	for l.Open() > 0 && hub.Sleep(ctx, drainInterval) == nil {
		continue
	}
	l.CloseUnused()
}
