package node

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

const (
	// defaultMemoryMegabytes is the memory from which the limits follow if the settings name none.
	defaultMemoryMegabytes = 512
	// connectionsPerMegabyte is the number of connections of callers for each MiB of memory. One that is idle takes about
	// 20 KiB with its goroutine and buffers, so that all together take an eighth of the memory.
	connectionsPerMegabyte = 6
	// callerDescriptorFraction is the fraction of the file descriptors that connections of callers may use. Most of the
	// others are for upstreams and other processes: a request in progress needs a connection to an upstream.
	callerDescriptorFraction = 0.5
	// readyDescriptorFraction and maxReadyConnections limit the connections to the readiness listener.
	readyDescriptorFraction = 0.0625
	maxReadyConnections     = 64
	// The fractions of the memory that request headers, long and short bodies of requests, and long and short responses may
	// take. Their sum and what connections take leave a quarter of the memory for the rest of the process.
	headerMemoryFraction        = 0.125
	requestMemoryFraction       = 0.25
	shortRequestMemoryFraction  = 0.0625
	responseMemoryFraction      = 0.125
	shortResponseMemoryFraction = 0.0625
	// readyHeaderMemory is the memory for headers of readiness checks, readyHeaderBytes the maximum length of one.
	readyHeaderMemory = 2 << 20
	readyHeaderBytes  = 16 << 10
	// readyTimeout limits the time for receiving a readiness check, and that for sending the response. readyIdleTimeout
	// exceeds the interval between two checks of the load balancer, one second.
	readyTimeout     = 5 * time.Second
	readyIdleTimeout = 15 * time.Second
	// socketBuffer is the size of the buffers that the kernel holds for a connection of a caller in each direction. It allows
	// for more than 1 MB/s at a round-trip time of 100 ms.
	socketBuffer = 128 << 10
	// readySocketBuffer is the same for a connection to the readiness listener.
	readySocketBuffer = 16 << 10
)

// limits are the limits on the callers of an entry process that follow from its settings.
type limits struct {
	memory           int64
	connections      int
	readyConnections int
}

// limitsOf returns the limits of a process that may open the given number of file descriptors.
func limitsOf(s *settings.Node, descriptors int) (limits, error) {
	if descriptors < settings.MinDescriptors {
		return limits{}, fmt.Errorf("%w: %d file descriptors, at least %d are needed", listener.ErrOptions, descriptors, settings.MinDescriptors)
	}
	megabytes := s.MemoryMegabytes
	if megabytes == 0 {
		megabytes = defaultMemoryMegabytes
	}
	usable := float64(descriptors - settings.ReservedDescriptors)
	l := limits{memory: int64(megabytes) << 20, connections: int(callerDescriptorFraction * usable)}
	l.readyConnections = min(maxReadyConnections, int(readyDescriptorFraction*usable))
	if s.Callers.MaxConnections > l.connections {
		return limits{}, fmt.Errorf("%w: Callers.MaxConnections is %d, %d file descriptors allow %d", listener.ErrOptions, s.Callers.MaxConnections, descriptors, l.connections)
	}
	if s.Callers.MaxConnections > 0 {
		l.connections = s.Callers.MaxConnections
	} else {
		l.connections = min(l.connections, connectionsPerMegabyte*megabytes)
	}
	return l, nil
}

// part returns a fraction of the memory in bytes.
func (l *limits) part(fraction float64) int64 { return int64(fraction * float64(l.memory)) }

// bodies returns the memory for the bodies of requests and responses.
func (l *limits) bodies() forward.Memory {
	return forward.Memory{
		Requests: l.part(requestMemoryFraction), ShortRequests: l.part(shortRequestMemoryFraction),
		Responses: l.part(responseMemoryFraction), ShortResponses: l.part(shortResponseMemoryFraction),
	}
}

// descriptorsOf returns the number of file descriptors that the process may open.
func descriptorsOf(s *settings.Node) (int, error) {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return 0, fmt.Errorf("read the limit of file descriptors: %w", err)
	}
	descriptors := int(min(system.Cur, math.MaxInt32))
	if s.MaxDescriptors > 0 {
		descriptors = min(descriptors, s.MaxDescriptors)
	}
	return descriptors, nil
}

// limitCallers puts the limits on the listener of callers.
func (e *Entry) limitCallers(inner net.Listener, l *limits) (*listener.Listener, error) {
	headers, err := listener.NewBudget("headers", l.part(headerMemoryFraction), e.metrics)
	if err != nil {
		return nil, err
	}
	return listener.New(inner, listener.Options{
		Name: "callers", MaxConnections: l.connections, MaxPerAddress: e.settings.Callers.MaxPerAddress, HTTP: true, Headers: headers,
		WriteTimeout: e.settings.Callers.WriteTimeout.Std(), SocketBuffer: socketBuffer,
		Metrics: e.metrics, Log: e.journal.Logger(journal.Process),
	})
}

// serveReady starts to serve readiness checks. The listener has limits of its own, so that callers cannot take the process out
// of rotation.
func (e *Entry) serveReady(inner net.Listener, l *limits) error {
	headers, err := listener.NewBudget("ready_headers", readyHeaderMemory, e.metrics)
	if err != nil {
		return err
	}
	limited, err := listener.New(inner, listener.Options{
		Name: "ready", MaxConnections: l.readyConnections, HTTP: true, Headers: headers, WriteTimeout: readyTimeout,
		SocketBuffer: readySocketBuffer, Metrics: e.metrics, Log: e.journal.Logger(journal.Process),
	})
	if err != nil {
		return err
	}
	e.ready = &http.Server{
		Handler:           noStore(endWithBody(http.HandlerFunc(e.handleReady))),
		ReadHeaderTimeout: readyTimeout,
		ReadTimeout:       readyTimeout,
		WriteTimeout:      readyTimeout,
		IdleTimeout:       readyIdleTimeout,
		MaxHeaderBytes:    readyHeaderBytes,
		ErrorLog:          e.journal.Logger(journal.Process).Std("", 0),
		ConnState:         limited.ConnState,
		ConnContext:       limited.ConnContext,
	}
	go func() { _ = e.ready.Serve(limited) }()
	return nil
}

// endWithBody closes the connection of a request with a body, which readiness checks do not have, once it has been answered.
// http.Server would read a part of the body first, and the connection could not be closed in favour of others meanwhile.
func endWithBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		next.ServeHTTP(w, r)
		c := http.NewResponseController(w)
		_ = c.Flush()
		// Even after a panic http.Server reads the body, until the deadline.
		_ = c.SetReadDeadline(time.Now())
		panic(http.ErrAbortHandler)
	})
}
