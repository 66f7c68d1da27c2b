package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/node"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/platform"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const testTimeout = 60 * time.Second

// fleet is entry and side processes before a stand-in deployment, each on a loopback address of its own.
type fleet struct {
	site    *standin.Site
	entries []*node.Entry
	// callers and ready are the addresses of the entry processes for callers and for the balancer.
	callers []string
	ready   []string
	engines []*standin.Engine
}

// Ports of the processes, below those that the system hands out, so that no connection of another program has them.
const (
	callersPort = ":7101"
	readyPort   = ":7102"
	controlPort = ":7103"
	sharedPort  = ":7104"
)

var addresses atomic.Uint32

// loopback returns a loopback address that no other process of this or another test program uses.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+addresses.Add(1)%250)
}

// withTestFleet starts two entry processes, and an engine with a side process for each held version.
func withTestFleet(t *testing.T, held ...uint64) *fleet {
	t.Helper()
	site, err := standin.NewSite()
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	f := &fleet{site: site}
	base := func(id, ip, domain string) settings.Node {
		s := settings.DefaultNode()
		s.Id, s.Domain, s.Region = id, domain, "r-"+domain
		s.Regions = []settings.DomainRegion{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}}
		s.ReportListen = ip + sharedPort
		s.AdminListen = ip + ":0"
		s.Store = site.StoreAddress
		s.Bounds.Switch = settings.Duration(3 * time.Second)
		return s
	}
	ips := []string{loopback(), loopback()}
	seeds := []string{ips[0] + controlPort, ips[1] + controlPort}
	for i, ip := range ips {
		s := base(fmt.Sprintf("entry-%d", i), ip, string("ab"[i]))
		s.Listen, s.ReadyListen, s.ControlListen, s.Peers = ip+callersPort, ip+readyPort, seeds[i], seeds
		e, err := node.StartEntry(s, journal.Discard(), platform.Adapter())
		assert.NilError(t, err)
		f.entries = append(f.entries, e)
		f.callers = append(f.callers, s.Listen)
		f.ready = append(f.ready, s.ReadyListen)
	}
	for i, version := range held {
		ip, domain := loopback(), string("ab"[i%2])
		engine, address, err := site.AddEngine(fmt.Sprintf("i-%d", i), ip, domain, version)
		assert.NilError(t, err)
		f.engines = append(f.engines, engine)
		s := base(fmt.Sprintf("side-%d", i), ip, domain)
		s.ControlListen, s.Upstream, s.Service, s.Peers = ip+sharedPort, address, standin.Service, seeds
		side, err := node.StartSide(s, journal.Discard(), platform.Adapter())
		assert.NilError(t, err)
		t.Cleanup(func() { side.Stop(stopContext(t)) })
	}
	t.Cleanup(func() {
		for _, e := range f.entries {
			e.Stop(stopContext(t))
		}
	})
	return f
}

// stopContext leaves a stopping process no time to wait for the balancer.
func stopContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func wholeAnswer(events int) string {
	out := ""
	for i := 1; i <= events; i++ {
		out += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return out
}

// ask sends one request and returns the status and the body.
func ask(t *testing.T, entry, id string) (int, string, error) {
	t.Helper()
	r, err := standin.Request(entry, "x", id)
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
			return err == nil && status == http.StatusOK && body == wholeAnswer(5)
		})
	}
}

// A calm day: requests are served, an empty engine is filled from its peers, a named version reaches all.
func TestCalmDay(t *testing.T) {
	f := withTestFleet(t, 1, 1, 0)
	f.untilServed(t)
	until(t, "the empty engine is filled", func() bool { return f.engines[2].Held() == 1 })
	f.site.NameVersion(2)
	for i, e := range f.engines {
		until(t, fmt.Sprintf("engine %d holds version 2", i), func() bool { return e.Held() == 2 })
	}
	f.untilServed(t)
	assert.Equal(t, f.engines[0].Accounts()[0], standin.Account)
}

// A stream that its engine breaks off goes on at another within the same answer.
func TestBrokenStreamGoesOn(t *testing.T) {
	f := withTestFleet(t, 1, 1)
	f.untilServed(t)
	f.engines[0].CutAt(2)
	for i := range 6 {
		status, body, err := ask(t, f.callers[0], fmt.Sprintf("req-%d", i))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, wholeAnswer(5))
	}
}

// A key that is taken away is refused, an evacuated failure domain gets nothing, and both spread while the store
// drops its history.
func TestChangesAreInForceEverywhere(t *testing.T) {
	f := withTestFleet(t, 1, 1)
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
	f := withTestFleet(t, 1, 1)
	f.untilServed(t)
	f.site.Store.Fail(http.StatusServiceUnavailable)
	for i := range 4 {
		status, _, err := ask(t, f.callers[i%2], "during")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	f.site.Store.Fail(0)
	f.site.NameVersion(3)
	until(t, "a version named after the outage is held", func() bool { return f.engines[0].Held() == 3 && f.engines[1].Held() == 3 })
}

// A stopping process tells the balancer at once and cuts no answer.
func TestPlannedStop(t *testing.T) {
	f := withTestFleet(t, 1, 1)
	f.untilServed(t)
	for _, e := range f.engines {
		e.SetEvents(200)
	}
	done := make(chan error, 1)
	go func() {
		status, body, err := ask(t, f.callers[0], "long")
		if err == nil && (status != http.StatusOK || body != wholeAnswer(200)) {
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
