package forward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

// leavesAfter is the time after which the callers of these tests leave.
const leavesAfter = 30 * time.Millisecond

// suspect makes a request without a prompt to a path suspected of the crashes of two upstreams, and returns its keys.
func (f *fixture) suspect(path string) *quarantine.Keys {
	k := quarantine.KeysOf("s", &quarantine.Content{Account: "acme", Method: http.MethodPost, Host: "h.test", Target: path, Body: []byte("body")})
	for _, id := range []string{"first", "second"} {
		f.quarantine.Crashed(directory.Key{Id: id}, &k)
	}
	return &k
}

// callAndLeave sends a request to a path and leaves after leavesAfter.
func (f *fixture) callAndLeave(t *testing.T, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), leavesAfter)
	defer cancel()
	got := f.call(ctx, t, http.MethodPost, path, nil)
	assert.ErrorIs(t, got.err, context.DeadlineExceeded)
}

// Guards against a request that crashes one upstream after the other because its callers leave before each crash.
func TestCrashesAfterTheCallerHasLeftAreCounted(t *testing.T) {
	for _, path := range []string{"/once/x", "/many/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				var u *upstream
				u = p.upstream(func(*http.Request, net.Conn) bool {
					time.Sleep(3 * leavesAfter)
					p.stop(u.address)
					return false
				})
				f := withPipedEntry(t, p, u)
				deadly := f.suspect(path)
				f.callAndLeave(t, path)
				time.Sleep(time.Second)
				assert.Assert(t, f.quarantine.Check(deadly).Blocked())
			})
		})
	}
}

// Guards against upstreams that work on for requests whose callers have left long ago.
func TestSuspectedRequestEndsSoonAfterItsCallerHasLeft(t *testing.T) {
	const allowed = 500 * time.Millisecond
	for _, suspected := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := withTestPipes(t)
			ended := make(chan time.Time, 1)
			u := p.upstream(func(_ *http.Request, c net.Conn) bool {
				_, _ = c.Read(make([]byte, 1))
				ended <- time.Now()
				return false
			})
			f := withPipedEntry(t, p, u)
			if suspected {
				f.suspect("/many/x")
			}
			f.callAndLeave(t, "/many/x")
			left := time.Now()
			took := (<-ended).Sub(left)
			assert.Assert(t, suspected && took < allowed || took == 0, took)
		})
	}
}

// Guards against a first crash that is not seen because the caller had left.
func TestUpstreamLostAfterTheCallerHasLeftIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := withTestPipes(t)
		var u *upstream
		u = p.upstream(func(*http.Request, net.Conn) bool {
			time.Sleep(3 * leavesAfter)
			p.stop(u.address)
			return false
		})
		f := withPipedEntry(t, p, u)
		f.callAndLeave(t, "/many/x")
		time.Sleep(5 * leavesAfter)
		f.post(t, "/many/other")
		deadly := quarantine.KeysOf("s", &quarantine.Content{Account: "acme", Method: http.MethodPost, Host: "h.test", Target: "/many/x", Body: []byte("body")})
		assert.Assert(t, f.quarantine.Suspected(&deadly))
	})
}
