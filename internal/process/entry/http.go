package entry

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// recoverPanics logs panics of the handler and answers the request with status 500, or closes the connection if a part of a
// response has been sent. A panic with http.ErrAbortHandler is passed on, because handlers abort responses with it on purpose.
func recoverPanics(l *log.Logger) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorded := &responseWriter{ResponseWriter: w}
			defer func() {
				v := recover()
				if v == nil {
					return
				}
				if v == http.ErrAbortHandler {
					panic(v)
				}
				l.Error().Any("Panic", v).Str("Path", r.URL.Path).Msg("request handler panicked")
				if recorded.begun {
					panic(http.ErrAbortHandler)
				}
				clear(w.Header())
				http.Error(w, "internal error", http.StatusInternalServerError)
			}()
			next.ServeHTTP(recorded, r)
		})
	}
}

// responseWriter records whether a part of a response has been sent.
type responseWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap makes the optional methods of the inner writer available to http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// requestBudgets divides the memory for requests among their headers and their bodies.
func requestBudgets(size int64, set *metrics.Set) (headers, bodies *listener.Budget, err error) {
	if headers, err = listener.NewBudget("headers", size/headerFraction, set); err != nil {
		return nil, nil, fmt.Errorf("limit headers: %w", err)
	}
	if bodies, err = listener.NewBudget("bodies", size-size/headerFraction, set); err != nil {
		return nil, nil, fmt.Errorf("limit bodies: %w", err)
	}
	return headers, bodies, nil
}
