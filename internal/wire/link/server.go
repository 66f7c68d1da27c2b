package link

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
)

// inactivityTimeout is the time after which a connection on which no call begins is closed. It exceeds idleTimeout, after
// which a client closes it.
const inactivityTimeout = 2 * time.Minute

// Server serves the calls of other processes until it is closed.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}
	once     sync.Once
}

// Serve starts a server that handles the calls on listener with handler. It calls onError, possibly concurrently,
// for errors of connections and of the listener.
func Serve(listener net.Listener, handler drpc.Handler, onError func(error)) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel, done: make(chan struct{})}
	server := drpcserver.NewWithOptions(limitedHandler{next: handler}, drpcserver.Options{Manager: serverOptions(), Log: onError})
	go func() {
		defer close(s.done)
		if err := server.Serve(ctx, listener); err != nil && ctx.Err() == nil {
			onError(err)
		}
	}()
	return s
}

// serverOptions returns the options of accepted connections.
func serverOptions() drpcmanager.Options {
	o := managerOptions()
	o.InactivityTimeout = inactivityTimeout
	return o
}

// Address returns the address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server, cancels the calls in progress and waits until they have ended.
func (s *Server) Close() {
	s.once.Do(s.cancel)
	<-s.done
}
