package channel_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitedUpstream is a test server that resets connections beyond a limit when it accepts them, and answers each call once
// release is closed.
type limitedUpstream struct {
	address string
	limit   atomic.Int64
	release chan struct{}

	mu      sync.Mutex
	open    int64
	highest int64
	resets  int
	calls   int
}

// withLimitedUpstream starts a limitedUpstream that resets surplus connections after delay.
func withLimitedUpstream(t *testing.T, limit int64, delay time.Duration) *limitedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &limitedUpstream{address: listener.Addr().String(), release: make(chan struct{})}
	u.limit.Store(limit)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if !u.accept() {
				time.Sleep(delay)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				continue
			}
			go func() {
				defer u.ended()
				serve(c, u.answer)
			}()
		}
	}()
	return u
}

func (u *limitedUpstream) accept() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.limit.Load() {
		u.resets++
		return false
	}
	u.open++
	u.highest = max(u.highest, u.open)
	return true
}

func (u *limitedUpstream) ended() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
}

func (u *limitedUpstream) answer(_ int, r *http.Request, c net.Conn) bool {
	u.mu.Lock()
	u.calls++
	u.mu.Unlock()
	<-u.release
	write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
	return true
}

// connections returns the number of open connections.
func (u *limitedUpstream) connections() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// counts returns the highest number of concurrent connections and the number of resets.
func (u *limitedUpstream) counts() (highest int64, resets int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.highest, u.resets
}
