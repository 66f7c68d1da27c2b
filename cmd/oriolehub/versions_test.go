package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/proxy"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// versionBound is the time after a version was named from which no request may begin on an older one.
	versionBound = 8 * time.Second
	// afterBound is the time after the bound for which requests are sent.
	afterBound = 4 * time.Second
	// namedVersion is the version that replaces cluster.InitialVersion.
	namedVersion = 2
	// suspension is the time for which an entry process stands still, from just before a version is named.
	suspension = 3 * time.Second
	// versionCallers is the number of callers at each entry process, versionPause the time between two requests of one.
	versionCallers = 4
	versionPause   = 20 * time.Millisecond
	// versionEvents is the number of events of each stream.
	versionEvents = 5
)

// versionSize is the deployment in which a version is named.
var versionSize = plan.Size{Entries: 3, Engines: 3}

// naming is a deployment in which a version is named, with what its engines begin.
type naming struct {
	*cluster.Cluster
	t *testing.T

	mu sync.Mutex
	// named is the time by which the store had acknowledged the version.
	named      time.Time
	beginnings []standin.Beginning
	// entryOf holds the entry process of each request, answered counts the answers of each one.
	entryOf  map[string]string
	answered map[string]int
}

// startNaming starts a deployment whose engines serve the initial version.
func startNaming(t *testing.T) *naming {
	t.Helper()
	n := &naming{t: t, entryOf: map[string]string{}, answered: map[string]int{}}
	started, err := cluster.Start(cluster.Options{
		Size: versionSize, Program: cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}, Folder: t.TempDir(),
		Switch: versionBound, Events: versionEvents, Observe: func(standin.Arrival) {}, Began: n.began, OnExit: func(err error) { t.Error(err) },
	})
	assert.NilError(t, err)
	t.Cleanup(started.Stop)
	n.Cluster = started
	for name := range started.Processes {
		assert.Assert(t, started.AwaitReady(name, readyTimeout), name)
	}
	return n
}

func (n *naming) began(b standin.Beginning) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beginnings = append(n.beginnings, b)
}

// name names the version and keeps the time by which the store has acknowledged it.
func (n *naming) name() {
	n.Site.SetTargetVersion(namedVersion)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.named = time.Now()
}

// call sends requests to all entry processes until ctx is done. It returns once all have ended.
func (n *naming) call(ctx context.Context) {
	var running sync.WaitGroup
	for i := range versionSize.Entries {
		for j := range versionCallers {
			running.Go(func() { n.runCaller(ctx, plan.EntryName(i), j) })
		}
	}
	running.Wait()
}

// runCaller sends requests to an entry process, one after the other, until ctx is done.
func (n *naming) runCaller(ctx context.Context, entry string, caller int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; hub.Sleep(ctx, versionPause) == nil; i++ {
		id := fmt.Sprintf("%s-%d-%d", entry, caller, i)
		n.mu.Lock()
		n.entryOf[id] = entry
		n.mu.Unlock()
		if n.send(ctx, client, entry, id) {
			n.mu.Lock()
			n.answered[entry]++
			n.mu.Unlock()
		}
	}
}

// send sends a request and reports whether it was answered.
func (n *naming) send(ctx context.Context, client *http.Client, entry, id string) bool {
	r, err := standin.Request(n.ListenerAddress(entry), http.MethodPost, standin.Path+"note", id)
	if err != nil {
		return false
	}
	resp, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// check fails the test for requests that have begun on the initial version after the bound, and if an entry process answered none.
func (n *naming) check() {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	late, latest := map[string]int{}, time.Duration(0)
	for _, b := range n.beginnings {
		after := b.At.Sub(n.named)
		if b.Version < namedVersion && after > versionBound {
			late[n.entryOf[b.RequestId]]++
			latest = max(latest, after)
		}
	}
	assert.Check(n.t, len(late) == 0, "requests by entry process that began on version %d past the bound of %s: %v, the last one after %s",
		cluster.InitialVersion, versionBound, late, latest)
	for i := range versionSize.Entries {
		assert.Check(n.t, n.answered[plan.EntryName(i)] > 0, plan.EntryName(i))
	}
	n.t.Logf("%d requests began, answered: %v", len(n.beginnings), n.answered)
}

// Guards against an entry process that goes on after a pause and counts the bound of a version from when it heard of it.
func TestPausedEntryKeepsTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.SetMode(plan.Origin, proxy.Cut)
	ctx, cancel := context.WithTimeout(t.Context(), versionBound+afterBound)
	defer cancel()
	var calling sync.WaitGroup
	calling.Go(func() { n.call(ctx) })
	paused := n.Processes[plan.EntryName(versionSize.Entries-1)]
	assert.NilError(t, hub.Sleep(ctx, time.Second))
	assert.NilError(t, paused.Signal(syscall.SIGSTOP))
	n.name()
	assert.NilError(t, hub.Sleep(ctx, suspension))
	assert.NilError(t, paused.Signal(syscall.SIGCONT))
	calling.Wait()
	n.check()
}
