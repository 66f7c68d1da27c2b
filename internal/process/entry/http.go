package entry

import (
	"net"
	"net/http"
	"sync"

	"github.com/justinas/alice"
	"github.com/phuslu/log"
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

// limitListener limits the number of open connections. Further connections wait in the accept queue of the operating
// system.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until the number of open connections is below the limit and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close closes the listener; pending and later calls of Accept return an error.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
