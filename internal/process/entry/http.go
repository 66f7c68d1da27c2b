package entry

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/justinas/alice"
	"github.com/phuslu/log"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// recoverPanics logs panics of the handler and closes the connection. A panic with http.ErrAbortHandler is not logged,
// because handlers abort responses with it on purpose.
func recoverPanics(l *log.Logger) alice.Constructor {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				v := recover()
				if v == nil {
					return
				}
				if v != http.ErrAbortHandler {
					l.Error().Any("Panic", v).Str("Path", r.URL.Path).Msg("request handler panicked; closing the connection")
				}
				panic(http.ErrAbortHandler)
			}()
			next.ServeHTTP(w, r)
		})
	}
}

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
