package listener_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// slowListener accepts connections whose writes return only some time after the peer may have received the data.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c}, nil
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(time.Millisecond)
	return n, err
}

// Guards against requests that are taken for ones sent ahead because the caller has received the whole response, and sends
// the next request, before http.Server reports that the connection is idle. The test uses TCP and no fake clock: a test that
// calls synctest.Wait sends its next request only after that report. Writes return late, so that many of the requests arrive
// before it.
func TestRequestsThatAwaitResponsesAreNotSentAhead(t *testing.T) {
	const requests = 200
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l, err := listener.New(slowListener{inner}, listener.Options{MaxConnections: 20, HTTP: true})
	assert.NilError(t, err)
	body := strings.Repeat("b", 300)
	var ahead, connections atomic.Int64
	handler := listener.LimitBodies(time.Minute)(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if listener.FromContext(r.Context()).SentAhead() {
			ahead.Add(1)
		}
		_, _ = io.WriteString(w, body)
	}))
	s := &http.Server{Handler: handler, ConnContext: l.ConnContext, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
		l.ConnState(c, state)
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	transport := &http.Transport{MaxConnsPerHost: 1}
	t.Cleanup(transport.CloseIdleConnections)
	client := http.Client{Transport: transport, Timeout: time.Minute}
	for range requests {
		resp, err := client.Get("http://" + inner.Addr().String())
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, string(got), body)
	}
	assert.Equal(t, connections.Load(), int64(1), "the requests were not sent on the same connection")
	assert.Equal(t, ahead.Load(), int64(0), "of %d requests were taken for ones sent ahead", requests)
}
