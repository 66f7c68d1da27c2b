package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/journal"
)

// pipeListener accepts connections in memory, so that a test may run with the runtime's fake clock.
type pipeListener struct {
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// check sends a request and returns the status of the response, or an error if the connection is closed.
func (l *pipeListener) check(request string) (int, error) {
	caller, server := net.Pipe()
	l.accepted <- server
	go func() { _, _ = io.WriteString(caller, request) }()
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// Guards against readiness checks that are refused because requests with incomplete bodies hold all connections: the load
// balancer takes the process out of rotation after two checks, which follow each other after a second.
func TestReadinessChecksAreAnsweredBesideBodies(t *testing.T) {
	const connections = 4
	j := journal.Discard()
	for name, begin := range map[string]string{
		"length": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\nx",
		"short":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx",
		"chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &Entry{node: &node{metrics: metrics.NewSet(), journal: j}}
				e.leaving.Store(true)
				l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
				assert.NilError(t, e.serveReady(l, &limits{readyConnections: connections}))
				t.Cleanup(func() { _ = e.ready.Close(); time.Sleep(time.Second) })
				for range connections {
					go func() { _, _ = l.check(begin) }()
				}
				synctest.Wait()
				status, err := l.check("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusServiceUnavailable)
			})
		})
	}
}
