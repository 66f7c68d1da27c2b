package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withProxy returns a proxy in front of a server that answers with the path of the request.
func withProxy(t *testing.T) *Proxy {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	t.Cleanup(server.Close)
	p, err := Listen("127.0.0.1:0", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// caller is a connection through a proxy.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, p *Proxy) *caller {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &caller{Conn: c, r: bufio.NewReader(c)}
}

// get sends a request and returns the body of the response, or an error if there is none within limit.
func (c *caller) get(path string, limit time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const testLimit = 10 * time.Second

// A soak whose proxy does not disturb connections finds nothing.
func TestModes(t *testing.T) {
	p := withProxy(t)
	c := dial(t, p)
	body, err := c.get("/a", testLimit)
	assert.NilError(t, err)
	assert.Equal(t, body, "/a")

	p.Set(Repeat)
	body, err = c.get("/b", testLimit)
	assert.NilError(t, err)
	assert.Equal(t, body, "/a", "the response before was not repeated")

	p.Set(Delay)
	c = dial(t, p)
	began := time.Now()
	_, err = c.get("/c", testLimit)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 2*chunkDelay)

	p.Set(CutFromTarget)
	_, err = c.get("/d", 50*time.Millisecond)
	assert.Assert(t, err != nil, "a response came through a cut")

	p.Set(Refuse)
	refused, err := net.Dial("tcp", p.Address())
	if err == nil {
		_, err = (&caller{Conn: refused, r: bufio.NewReader(refused)}).get("/e", testLimit)
	}
	assert.Assert(t, err != nil, "a response came although connections are refused")
}

func TestSilencedConnectionsStaySilent(t *testing.T) {
	p := withProxy(t)
	c := dial(t, p)
	_, err := c.get("/a", testLimit)
	assert.NilError(t, err)
	p.Silence()
	_, err = c.get("/b", 50*time.Millisecond)
	assert.Assert(t, err != nil, "a response came on a silenced connection")
	_, err = dial(t, p).get("/c", testLimit)
	assert.NilError(t, err)
	c = dial(t, p)
	_, err = c.get("/d", testLimit)
	assert.NilError(t, err)
	p.Reset()
	_, err = c.get("/e", testLimit)
	assert.Assert(t, err != nil, "a response came on a reset connection")
}

// A request that is held back must not arrive once its sender has reset the connection: it would look as if the sender had
// sent it late.
func TestHeldBytesOfAResetConnectionAreLost(t *testing.T) {
	var arrived atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Store(true) }))
	t.Cleanup(server.Close)
	p, err := Listen("127.0.0.1:0", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	p.Set(CutToTarget)
	c := dial(t, p)
	_, err = c.get("/a", 50*time.Millisecond)
	assert.Assert(t, err != nil)
	resetConn(c.Conn)
	time.Sleep(50 * time.Millisecond)
	p.Set(Pass)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !arrived.Load())
}
