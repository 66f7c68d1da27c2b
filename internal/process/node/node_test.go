package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/node"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	testTimeout = 60 * time.Second
	// settleTime exceeds the time for which a started process quarantines nothing.
	settleTime = 3200 * time.Millisecond
)

// fleet is a testbed with two entry processes in different failure domains.
type fleet struct {
	*testbed.Testbed
	site    *standin.Site
	entries []*node.Entry
	// callers and ready are the addresses of the entry processes for callers and for readiness checks.
	callers []string
	ready   []string
	engines []*standin.Engine
}

// startTestFleet starts two entry processes and the given number of engines with side processes. The last
// withoutWeights engines start without weights.
func startTestFleet(t *testing.T, engines, withoutWeights int) *fleet {
	t.Helper()
	b, err := testbed.Start(testbed.Options{
		Places:  []deployment.Place{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}},
		Entries: 2, Engines: engines, Empty: withoutWeights, Switch: 3 * time.Second, Journal: journal.Discard(),
	})
	assert.NilError(t, err)
	t.Cleanup(b.Stop)
	f := &fleet{Testbed: b, site: b.Site, entries: b.Entries}
	for _, a := range b.Addresses {
		f.callers, f.ready = append(f.callers, a.Callers), append(f.ready, a.Ready)
	}
	for _, vm := range b.Vms {
		f.engines = append(f.engines, vm.Engine)
	}
	return f
}

// sendRequest sends one request and returns the status and the body.
func sendRequest(t *testing.T, entry, id string) (int, string, error) {
	t.Helper()
	r, err := standin.Request(entry, http.MethodPost, standin.Path+"x", id)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// waitUntil polls a condition until it holds and fails the test after testTimeout. Tests wait only in this way, so that
// their results do not depend on timing.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitUntilServing waits until every entry process has all engines in its list and serves requests. An entry process serves
// as soon as its list has one engine; the others have been written to the store a moment before.
func (f *fleet) waitUntilServing(t *testing.T) {
	t.Helper()
	for i, e := range f.entries {
		waitUntil(t, fmt.Sprintf("entry process %d lists all engines", i), func() bool { return e.ListedUpstreams() == len(f.engines) })
	}
	for _, entry := range f.callers {
		waitUntil(t, "requests are served by "+entry, func() bool {
			status, body, err := sendRequest(t, entry, "warm-up")
			return err == nil && status == http.StatusOK && body == standin.StreamBody("warm-up", 5)
		})
	}
}

// Guards against faults in normal operation: requests are not served, an engine without weights does not receive them
// from its peers, or a new target version does not reach all engines.
func TestServeAndSwitchVersion(t *testing.T) {
	f := startTestFleet(t, 3, 1)
	f.waitUntilServing(t)
	waitUntil(t, "the engine without weights holds version 1", func() bool { return f.engines[2].Held() == 1 })
	f.site.SetTargetVersion(2)
	for i, e := range f.engines {
		waitUntil(t, fmt.Sprintf("engine %d holds version 2", i), func() bool { return e.Held() == 2 })
	}
	f.waitUntilServing(t)
	assert.Equal(t, f.engines[0].Accounts()[0], standin.Account)
}

// Guards against responses that end early or repeat events when an engine interrupts its stream. The stream must resume
// at another engine within the same response.
func TestBrokenStreamResumesAtOtherEngine(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	f.engines[0].AbortStreamsAfter(2)
	for i := range 6 {
		id := fmt.Sprintf("req-%d", i)
		status, body, err := sendRequest(t, f.callers[0], id)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, standin.StreamBody(id, 5))
	}
}

// Guards against changes that do not reach all entry processes: an evacuated failure domain still receives requests, or
// a revoked key is still accepted. The store compacts its history meanwhile, so watches may lose their position.
func TestChangesReachAllEntries(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	f.site.Store.Compact()
	f.site.Evacuate("a", true)
	waitUntil(t, "the engine in the evacuated domain receives no request", func() bool {
		before := len(f.engines[0].Accounts())
		for _, entry := range f.callers {
			status, _, err := sendRequest(t, entry, "moved")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
		return len(f.engines[0].Accounts()) == before
	})
	f.site.Evacuate("a", false)
	f.site.Configure(2, "another key")
	for _, entry := range f.callers {
		waitUntil(t, "the old key is refused at "+entry, func() bool {
			status, _, err := sendRequest(t, entry, "revoked")
			return err == nil && status == http.StatusUnauthorized
		})
	}
}

// Guards against requests that fail while the store is unavailable, and against target versions set after the outage
// that are missed.
func TestStoreOutage(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	f.site.Store.Fail(http.StatusServiceUnavailable)
	for i := range 4 {
		status, _, err := sendRequest(t, f.callers[i%2], "during")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	f.site.Store.Fail(0)
	f.site.SetTargetVersion(3)
	waitUntil(t, "both engines hold the version set after the outage", func() bool { return f.engines[0].Held() == 3 && f.engines[1].Held() == 3 })
}

// Guards against planned stops that interrupt responses, and against readiness checks that still succeed after the stop
// has begun. A long response is in progress while the process stops.
func TestPlannedStop(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	for _, e := range f.engines {
		e.SetEvents(200)
	}
	done := make(chan error, 1)
	go func() {
		status, body, err := sendRequest(t, f.callers[0], "long")
		if err == nil && (status != http.StatusOK || body != standin.StreamBody("long", 200)) {
			err = fmt.Errorf("status %d, %d bytes", status, len(body))
		}
		done <- err
	}()
	waitUntil(t, "the long response has begun", func() bool { return f.engines[0].Streaming()+f.engines[1].Streaming() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go f.entries[0].Stop(ctx)
	waitUntil(t, "the readiness check fails", func() bool {
		resp, err := http.Get("http://" + f.ready[0] + "/")
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	assert.NilError(t, <-done)
}

// Callers keep using their open connections while a process stops. Guards against connections that are closed without
// an answer to a request which crosses the begin of the stop, and against requests that are refused too early.
func TestPlannedStopAnswersOnOpenConnections(t *testing.T) {
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	const connections = 20
	var open []net.Conn
	for range connections {
		c, err := net.Dial("tcp", f.callers[0])
		assert.NilError(t, err)
		defer c.Close()
		open = append(open, c)
		resp := sendOn(t, c, f.callers[0], "before")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Assert(t, !resp.Close)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	stopped, began := make(chan struct{}), time.Now()
	go func() { f.entries[0].Stop(ctx); close(stopped) }()
	waitUntil(t, "the readiness check fails", func() bool {
		resp, err := http.Get("http://" + f.ready[0] + "/")
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	served := 0
	for _, c := range open {
		resp := sendOn(t, c, f.callers[0], "during")
		took := time.Since(began)
		assert.Assert(t, resp.Close, "the answer does not announce that the connection is closed")
		if resp.StatusCode != http.StatusServiceUnavailable || took < node.DrainDelay {
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%v after the begin of the stop", took)
			served++
			continue
		}
		assert.Assert(t, resp.Header.Get("Retry-After") != "", "a refusal without Retry-After")
	}
	assert.Assert(t, served > 0, "no request was served after the begin of the stop")
	<-stopped
}

// Guards against requests that reach a stopping process late, on connections opened before: they must neither be passed on,
// since they would be cut when the time for the stop is up, nor be dropped without an answer.
func TestRequestsLateInAPlannedStopAreRefused(t *testing.T) {
	const unlimited = 1 << 30
	f := startTestFleet(t, 2, 0)
	f.waitUntilServing(t)
	for _, e := range f.engines {
		e.SetEvents(unlimited)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(t, f.callers[0], "long")
		done <- err
	}()
	waitUntil(t, "the long response has begun", func() bool { return f.engines[0].Streaming()+f.engines[1].Streaming() > 0 })
	used, err := net.Dial("tcp", f.callers[0])
	assert.NilError(t, err)
	defer used.Close()
	lookup := func(c net.Conn, id string) *http.Response {
		r, err := standin.Request(f.callers[0], http.MethodGet, "/nowhere/", id)
		assert.NilError(t, err)
		return exchangeOn(t, c, r)
	}
	assert.Equal(t, lookup(used, "before").StatusCode, http.StatusNotFound)
	unused, err := net.Dial("tcp", f.callers[0])
	assert.NilError(t, err)
	defer unused.Close()
	stopped := make(chan struct{})
	go func() { f.entries[0].Stop(ctx); close(stopped) }()
	waitUntil(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", f.callers[0])
		if err != nil {
			return true
		}
		_ = c.Close()
		return false
	})
	ran := len(f.engines[0].Accounts()) + len(f.engines[1].Accounts())
	for name, c := range map[string]net.Conn{"used": used, "unused": unused} {
		resp := sendOn(t, c, f.callers[0], "late")
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, name)
		assert.Assert(t, resp.Header.Get("Retry-After") != "" && resp.Close, name)
	}
	assert.Equal(t, len(f.engines[0].Accounts())+len(f.engines[1].Accounts()), ran, "a late request has run")
	for _, e := range f.engines {
		e.SetEvents(1)
	}
	assert.NilError(t, <-done)
	<-stopped
}

// Guards against requests that are cut without an answer when the time for a planned stop is up: one that an engine runs
// without ever answering, and ones whose bodies have not been received completely, or only after the process has ceased to
// accept requests.
func TestRequestsInProgressAtTheEndOfAPlannedStopAreAnswered(t *testing.T) {
	const stopTime = 4500 * time.Millisecond
	f := startTestFleet(t, 1, 0)
	f.waitUntilServing(t)
	f.site.SetBehavior(f.engines[0].Id, standin.Behavior{Silent: true})
	type answer struct {
		status int
		err    error
	}
	send := func(id string, body io.Reader) chan answer {
		out := make(chan answer, 1)
		r, err := standin.Request(f.callers[0], http.MethodPost, standin.Path+"x", id)
		assert.NilError(t, err)
		if body != nil {
			r.Body, r.ContentLength = io.NopCloser(body), -1
		}
		go func() {
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				out <- answer{err: err}
				return
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			out <- answer{status: resp.StatusCode, err: err}
		}()
		return out
	}
	silent := send("silent", nil)
	waitUntil(t, "the engine runs the request", func() bool { return len(f.engines[0].Accounts()) > 2 })
	lateBody, lateWriter := io.Pipe()
	late := send("late", lateBody)
	_, err := lateWriter.Write([]byte("begin"))
	assert.NilError(t, err)
	openBody, openWriter := io.Pipe()
	open := send("open", openBody)
	_, err = openWriter.Write([]byte("begin"))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	stopped := make(chan struct{})
	go func() { f.entries[0].Stop(ctx); close(stopped) }()
	waitUntil(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", f.callers[0])
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	assert.NilError(t, lateWriter.Close())
	assert.Equal(t, <-late, answer{status: http.StatusServiceUnavailable})
	assert.Equal(t, <-silent, answer{status: http.StatusGatewayTimeout})
	assert.Equal(t, <-open, answer{status: http.StatusServiceUnavailable})
	<-stopped
	assert.NilError(t, ctx.Err(), "the stop took longer than it may")
}

// sendOn sends a request to an engine on an open connection and returns the response after its whole body has been read.
func sendOn(t *testing.T, c net.Conn, entry, id string) *http.Response {
	t.Helper()
	r, err := standin.Request(entry, http.MethodPost, standin.Path+"x", id)
	assert.NilError(t, err)
	return exchangeOn(t, c, r)
}

// exchangeOn sends a request on an open connection and returns the response after its whole body has been read.
func exchangeOn(t *testing.T, c net.Conn, r *http.Request) *http.Response {
	t.Helper()
	assert.NilError(t, r.Write(c))
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp
}

// Guards against entry processes that each learn of a deadly part by crashes of their own.
func TestPartThatCrashesEnginesIsRefusedByAllEntries(t *testing.T) {
	const deadly = "bad"
	f := startTestFleet(t, 5, 0)
	f.waitUntilServing(t)
	for _, e := range f.engines {
		e.CrashUnder(deadly)
	}
	sent := 0
	send := func(entry, parts string) *http.Response {
		sent++
		r, err := standin.Request(entry, http.MethodPost, standin.Path+"x", fmt.Sprint("r", sent))
		assert.NilError(t, err)
		standin.SetParts(r, parts)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		return response
	}
	time.Sleep(settleTime)
	refused := func(entry string) bool {
		return send(entry, fmt.Sprintf("shared:40,%s:10,own-%d:5", deadly, sent)).StatusCode == http.StatusServiceUnavailable
	}
	waitUntil(t, "the first entry process refuses the part", func() bool { return refused(f.callers[0]) })
	waitUntil(t, "the other entry process knows", func() bool { return f.entries[1].Quarantined() > 0 })
	assert.Assert(t, refused(f.callers[1]))
	crashed := 0
	for _, e := range f.engines {
		if e.Crashed() {
			crashed++
		}
	}
	assert.Equal(t, crashed, 3)
	for _, entry := range f.callers {
		assert.Equal(t, send(entry, "shared:40,own:5").StatusCode, http.StatusOK)
	}
}
