package node_test

import (
	"context"
	"fmt"
	"io"
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

const testTimeout = 60 * time.Second

// fleet is a testbed with two entry processes in two failure domains.
type fleet struct {
	*testbed.Testbed
	site    *standin.Site
	entries []*node.Entry
	// callers and ready are the addresses of the entry processes for callers and for the balancer.
	callers []string
	ready   []string
	engines []*standin.Engine
}

// withTestFleet starts two entry processes and a number of engines with their side processes, the last of which hold
// no weights.
func withTestFleet(t *testing.T, engines, empty int) *fleet {
	t.Helper()
	b, err := testbed.Start(testbed.Options{
		Places:  []deployment.Place{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}},
		Entries: 2, Engines: engines, Empty: empty, Switch: 3 * time.Second, Journal: journal.Discard(),
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

// ask sends one request and returns the status and the body.
func ask(t *testing.T, entry, id string) (int, string, error) {
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

// until waits for a condition; nothing else is decided by the clock.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("still not: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) untilServed(t *testing.T) {
	t.Helper()
	for _, entry := range f.callers {
		until(t, "requests served by "+entry, func() bool {
			status, body, err := ask(t, entry, "warm-up")
			return err == nil && status == http.StatusOK && body == standin.StreamBody("warm-up", 5)
		})
	}
}

// A calm day: requests are served, an empty engine is filled from its peers, a named version reaches all.
func TestCalmDay(t *testing.T) {
	f := withTestFleet(t, 3, 1)
	f.untilServed(t)
	until(t, "the empty engine is filled", func() bool { return f.engines[2].Held() == 1 })
	f.site.SetTargetVersion(2)
	for i, e := range f.engines {
		until(t, fmt.Sprintf("engine %d holds version 2", i), func() bool { return e.Held() == 2 })
	}
	f.untilServed(t)
	assert.Equal(t, f.engines[0].Accounts()[0], standin.Account)
}

// A stream that its engine breaks off goes on at another within the same answer.
func TestBrokenStreamGoesOn(t *testing.T) {
	f := withTestFleet(t, 2, 0)
	f.untilServed(t)
	f.engines[0].AbortStreamsAfter(2)
	for i := range 6 {
		id := fmt.Sprintf("req-%d", i)
		status, body, err := ask(t, f.callers[0], id)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, standin.StreamBody(id, 5))
	}
}

// A key that is taken away is refused, an evacuated failure domain gets nothing, and both spread while the store
// drops its history.
func TestChangesAreInForceEverywhere(t *testing.T) {
	f := withTestFleet(t, 2, 0)
	f.untilServed(t)
	f.site.Store.Compact()
	f.site.Evacuate("a", true)
	until(t, "engine in the evacuated domain gets nothing", func() bool {
		before := len(f.engines[0].Accounts())
		for _, entry := range f.callers {
			status, _, err := ask(t, entry, "moved")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
		return len(f.engines[0].Accounts()) == before
	})
	f.site.Evacuate("a", false)
	f.site.Configure(2, "another key")
	for _, entry := range f.callers {
		until(t, "the old key is refused at "+entry, func() bool {
			status, _, err := ask(t, entry, "revoked")
			return err == nil && status == http.StatusUnauthorized
		})
	}
}

// Requests go on while the store is down, and a process that starts meanwhile is not ready before it knows the state.
func TestStoreOutage(t *testing.T) {
	f := withTestFleet(t, 2, 0)
	f.untilServed(t)
	f.site.Store.Fail(http.StatusServiceUnavailable)
	for i := range 4 {
		status, _, err := ask(t, f.callers[i%2], "during")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	f.site.Store.Fail(0)
	f.site.SetTargetVersion(3)
	until(t, "a version named after the outage is held", func() bool { return f.engines[0].Held() == 3 && f.engines[1].Held() == 3 })
}

// A stopping process tells the balancer at once and cuts no answer.
func TestPlannedStop(t *testing.T) {
	f := withTestFleet(t, 2, 0)
	f.untilServed(t)
	for _, e := range f.engines {
		e.SetEvents(200)
	}
	done := make(chan error, 1)
	go func() {
		status, body, err := ask(t, f.callers[0], "long")
		if err == nil && (status != http.StatusOK || body != standin.StreamBody("long", 200)) {
			err = fmt.Errorf("status %d, %d bytes", status, len(body))
		}
		done <- err
	}()
	until(t, "the long answer has begun", func() bool { return f.engines[0].Streaming()+f.engines[1].Streaming() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go f.entries[0].Stop(ctx)
	until(t, "the balancer is told", func() bool {
		resp, err := http.Get("http://" + f.ready[0] + "/")
		if err != nil {
			return true
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	assert.NilError(t, <-done)
}
