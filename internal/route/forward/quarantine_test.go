package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/quarantine"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// quarantineSettleTime exceeds the time for which a started process quarantines nothing.
const quarantineSettleTime = 3100 * time.Millisecond

// breakUnder returns a script that calls broken and ends the connection after the head of the response to a request with
// a part, and sends complete streams otherwise.
func breakUnder(part string, broken func()) script {
	return func(r *http.Request, c net.Conn) bool {
		if r.Header.Get(desired.HeaderParts) != part {
			return events(3, true)(r, c)
		}
		broken()
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		return false
	}
}

// withCrashingUpstream starts an upstream that ends at the first request with a part.
func withCrashingUpstream(t *testing.T, part string) *upstream {
	t.Helper()
	var u *upstream
	ready := make(chan struct{})
	u = withTestUpstream(t, breakUnder(part, func() { <-ready; _ = u.listener.Close() }))
	close(ready)
	return u
}

func countWithParts(upstreams []*upstream, parts string) int {
	n := 0
	for _, u := range upstreams {
		for i := range u.count() {
			if u.request(i).Header.Get(desired.HeaderParts) == parts {
				n++
			}
		}
	}
	return n
}

// sendPrompts returns a function that sends a request whose prompt has the given shared parts and one of its own.
func (f *fixture) sendPrompts(t *testing.T) func(parts string) reply {
	sent := 0
	return func(parts string) reply {
		sent++
		return f.call(t.Context(), t, http.MethodPost, "/stream/x", http.Header{desired.HeaderParts: {parts}, desired.HeaderPrompt: {fmt.Sprint(parts, " ", sent)}})
	}
}

// Guards against requests of one kind that crash one upstream after the other.
func TestRequestsUnderWhichUpstreamsCrashAreRefused(t *testing.T) {
	var upstreams []*upstream
	for range 8 {
		upstreams = append(upstreams, withCrashingUpstream(t, "shared deadly"))
	}
	f := withTestEntry(t, upstreams...)
	time.Sleep(quarantineSettleTime)
	send := f.sendPrompts(t)
	for range 10 {
		deadly := send("shared deadly")
		assert.Assert(t, deadly.status == http.StatusBadGateway || deadly.status == http.StatusServiceUnavailable && deadly.header.Get("Retry-After") != "", "status %d", deadly.status)
		sound := send("shared")
		assert.Equal(t, sound.status, http.StatusOK)
		assert.Equal(t, sound.body, completeStream(3))
	}
	sent := countWithParts(upstreams, "shared deadly")
	assert.Equal(t, sent, 3)
}

// crashUnder returns a script that answers a request with a part by calling crash and resetting the connection before any
// byte of the response, and sends complete streams otherwise.
func crashUnder(part string, crash func()) script {
	return func(r *http.Request, c net.Conn) bool {
		if r.Header.Get(desired.HeaderParts) != part {
			return events(3, true)(r, c)
		}
		crash()
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// Guards against requests that crash one upstream after the other without being suspected, because the connection on which
// each upstream crashed had been used before.
func TestCrashesOnReusedConnectionsAreCounted(t *testing.T) {
	var upstreams []*upstream
	for range 8 {
		var u *upstream
		ready := make(chan struct{})
		u = withTestUpstream(t, crashUnder("shared deadly", func() { <-ready; _ = u.listener.Close() }))
		close(ready)
		upstreams = append(upstreams, u)
	}
	f := withTestEntry(t, upstreams...)
	time.Sleep(quarantineSettleTime)
	send := f.sendPrompts(t)
	for range 40 {
		assert.Equal(t, send("shared").status, http.StatusOK)
	}
	for range 10 {
		send("shared deadly")
	}
	assert.Equal(t, countWithParts(upstreams, "shared deadly"), 3)
}

// Guards against sound requests that are refused because upstreams in service cut their responses.
func TestRequestsWhoseResponsesAreCutAreNotQuarantined(t *testing.T) {
	var upstreams []*upstream
	for range 4 {
		upstreams = append(upstreams, withTestUpstream(t, breakUnder("rare", func() {})))
	}
	f := withTestEntry(t, upstreams...)
	time.Sleep(quarantineSettleTime)
	send := f.sendPrompts(t)
	for i := range 6 {
		before := countWithParts(upstreams, "rare")
		send("rare")
		assert.Assert(t, countWithParts(upstreams, "rare") > before, "request %d was not sent", i)
	}
}

// crashUnderPrompt returns a script that ends the upstream at each request with a prompt and answers all others.
func crashUnderPrompt(prompt string, end func()) script {
	return func(r *http.Request, c net.Conn) bool {
		if r.Header.Get(desired.HeaderPrompt) == prompt {
			end()
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			return events(3, true)(r, c)
		}
		return respond(http.StatusOK, "whole")(r, c)
	}
}

// countWithPrompt returns the number of requests with a prompt that have reached upstreams.
func countWithPrompt(upstreams []*upstream, prompt string) int {
	n := 0
	for _, u := range upstreams {
		for i := range u.count() {
			if u.request(i).Header.Get(desired.HeaderPrompt) == prompt {
				n++
			}
		}
	}
	return n
}

// Guards against one request that crashes one upstream after the other, although other requests with its parts are answered.
func TestRequestUnderWhichUpstreamsCrashIsRefused(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x", "/many/x"} {
		t.Run(path, func(t *testing.T) {
			var upstreams []*upstream
			for range 8 {
				var u *upstream
				ready := make(chan struct{})
				u = withTestUpstream(t, crashUnderPrompt("deadly", func() { <-ready; _ = u.listener.Close() }))
				close(ready)
				upstreams = append(upstreams, u)
			}
			f := withTestEntry(t, upstreams...)
			send := func(prompt string) reply {
				return f.call(t.Context(), t, http.MethodPost, path, http.Header{desired.HeaderParts: {"shared"}, desired.HeaderPrompt: {prompt}})
			}
			for range 6 {
				send("deadly")
				assert.Equal(t, send("sound").status, http.StatusOK)
			}
			refused := send("deadly")
			assert.Equal(t, refused.status, http.StatusServiceUnavailable)
			assert.Assert(t, refused.header.Get("Retry-After") != "")
			assert.Equal(t, countWithPrompt(upstreams, "deadly"), 3)
		})
	}
}

// Guards against requests that are sent on to a reserved upstream although they were put in quarantine after the reservation.
func TestReservedAttemptsOfQuarantinedRequestsAreNotMade(t *testing.T) {
	// slowFailure exceeds the time after which an attempt at the route slow is late.
	const slowFailure = time.Second
	var upstreams []*upstream
	for range 2 {
		var u *upstream
		ready := make(chan struct{})
		u = withTestUpstream(t, crashUnderPrompt("deadly", func() { <-ready; _ = u.listener.Close() }))
		close(ready)
		upstreams = append(upstreams, u)
	}
	dial := socket.Dialer(testTimeout)
	f := withTestPool(t, channel.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			time.Sleep(slowFailure)
		}
		return c, err
	}), upstreams...)
	deadly := quarantine.KeysOf("s", &quarantine.Content{Account: "acme", Method: http.MethodPost, Host: "h.test", Target: "/slow/x", Body: []byte("body"), Prompt: "deadly"})
	for _, id := range []string{"first", "second"} {
		f.quarantine.Crashed(directory.Key{Id: id}, &deadly)
	}
	f.call(t.Context(), t, http.MethodPost, "/slow/x", http.Header{desired.HeaderPrompt: {"deadly"}})
	assert.Assert(t, f.quarantine.Check(&deadly).Blocked())
	assert.Equal(t, countWithPrompt(upstreams, "deadly"), 1)
}

// Guards against parts that no process knows as sound because upstreams end their responses with the connection, so that they
// are refused with those that crash upstreams. A stream that ends after its first event may have been cut by a crash.
func TestStreamsThatEndWithTheConnectionShowThatPartsAreSound(t *testing.T) {
	for last, sound := range map[int]bool{1: false, 2: true, 24: true} {
		t.Run(fmt.Sprint(last, " events"), func(t *testing.T) {
			u := withTestUpstream(t, func(r *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, head(r, http.StatusOK, "Content-Type: text/event-stream\r\n\r\n")+completeStream(last))
				return false
			})
			f := withTestEntry(t, u)
			got := f.sendPrompts(t)("shared")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, completeStream(last))
			assert.Equal(t, f.quarantine.Suspects(&quarantine.Keys{Parts: []string{"s/shared"}}), !sound)
		})
	}
}
