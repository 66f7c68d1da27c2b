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
	afterBound = 3 * time.Second
	// namedVersion is the version that replaces cluster.InitialVersion.
	namedVersion = 2
	// suspension is the time for which an entry process stands still.
	suspension = 3 * time.Second
	// warmUpTime is the time for which requests are sent first, beforeNaming that between the first requests and the naming.
	warmUpTime   = 2 * time.Second
	beforeNaming = 2 * time.Second
	// pauseBefore is the time before the bound at which a process is paused that stands still over it.
	pauseBefore = 800 * time.Millisecond
	// turnPaused and turnRunning are the times for which a process with little processor time stands still and runs in turns.
	turnPaused  = 80 * time.Millisecond
	turnRunning = 40 * time.Millisecond
	// longWait is the time for which callers wait whose route leaves them more time than the bound, longConfiguration the
	// configuration with that route, which is in force after configurationTime.
	longWait          = 20 * time.Second
	longConfiguration = 2
	configurationTime = 2 * time.Second
	// queueWait and longQueueWait are times for which requests wait in the queue of an engine.
	queueWait     = 1500 * time.Millisecond
	longQueueWait = 2500 * time.Millisecond
	// versionCallers is the number of callers at each entry process, versionPause the time between two requests of one.
	// The first requests of the callers are versionStagger apart, so that some are sent shortly before the bound.
	versionCallers = 4
	versionPause   = 20 * time.Millisecond
	versionStagger = 400 * time.Millisecond
	// versionEvents is the number of events of each stream.
	versionEvents = 5
)

// versionSize is the deployment in which a version is named.
var versionSize = plan.Size{Entries: 3, Engines: 3}

// naming is a deployment in which a version is named, with what its engines begin.
type naming struct {
	*cluster.Cluster
	t *testing.T
	// wait is the time for which callers wait, 0 for that of standin.Request.
	wait time.Duration

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
	_ = hub.Sleep(ctx, time.Duration(caller)*versionStagger)
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
	if n.wait > 0 {
		standin.SetWait(r, n.wait)
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

// cutOrigin makes the engines fetch no version.
func (n *naming) cutOrigin() { n.SetMode(plan.Origin, proxy.Cut) }

// setQueueing changes how requests wait in all engines.
func (n *naming) setQueueing(q standin.Queueing) {
	for i := range versionSize.Engines {
		n.Site.SetQueueing(plan.EngineName(i), q)
	}
}

// warmUp sends requests until each entry process has answered some.
func (n *naming) warmUp() {
	ctx, cancel := context.WithTimeout(n.t.Context(), warmUpTime)
	defer cancel()
	n.call(ctx)
}

// callBeside sends requests until afterBound after the bound, and calls do, which names the version, soon after the first ones.
func (n *naming) callBeside(do func(context.Context)) {
	ctx, cancel := context.WithTimeout(n.t.Context(), beforeNaming+versionBound+afterBound)
	defer cancel()
	var calling sync.WaitGroup
	calling.Go(func() { n.call(ctx) })
	_ = hub.Sleep(ctx, beforeNaming)
	do(ctx)
	calling.Wait()
	n.check()
}

// pausedEntry is the entry process that is paused in tests.
var pausedEntry = plan.EntryName(versionSize.Entries - 1)

// pause pauses an entry process.
func (n *naming) pause(ctx context.Context, d time.Duration) {
	p := n.Processes[pausedEntry]
	assert.Check(n.t, p.Signal(syscall.SIGSTOP) == nil)
	_ = hub.Sleep(ctx, d)
	assert.Check(n.t, p.Signal(syscall.SIGCONT) == nil)
}

// Guards against an entry process that goes on after a pause and counts the bound of a version from when it heard of it.
func TestPausedEntryKeepsTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.cutOrigin()
	n.callBeside(func(ctx context.Context) {
		assert.Check(t, n.Processes[pausedEntry].Signal(syscall.SIGSTOP) == nil)
		n.name()
		n.pause(ctx, suspension)
	})
}

// Guards against an entry process with little processor time that sends requests on after the bound of a version.
func TestEntryThatRunsInTurnsKeepsTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.cutOrigin()
	n.callBeside(func(ctx context.Context) {
		n.name()
		for ctx.Err() == nil {
			n.pause(ctx, turnPaused)
			_ = hub.Sleep(ctx, turnRunning)
		}
	})
}

// Guards against requests that are sent before the bound of a version, wait in an engine's queue and begin after it.
func TestQueuedRequestsKeepTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.cutOrigin()
	n.setQueueing(standin.Queueing{Wait: queueWait})
	n.callBeside(func(context.Context) { n.name() })
}

// Guards against requests that begin after the bound of a version because engines don't drop them when their connections are closed.
func TestRequestsThatEnginesKeepKeepTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.cutOrigin()
	n.setQueueing(standin.Queueing{Wait: queueWait, KeepsClosed: true})
	n.callBeside(func(context.Context) { n.name() })
}

// Guards against a request that is sent before a version is named and waits in an engine's queue until after its bound.
func TestRequestsSentBeforeAVersionKeepItsBound(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.cutOrigin()
	n.warmUp()
	n.wait = longWait
	n.Site.ConfigureRoutes(longConfiguration, &standin.Routing{StreamTimeout: longWait}, standin.Key)
	assert.NilError(t, hub.Sleep(t.Context(), configurationTime))
	n.setQueueing(standin.Queueing{Wait: versionBound + beforeNaming + queueWait})
	n.callBeside(func(context.Context) { n.name() })
}

// Guards against queued requests that begin after the bound of a version because their entry process stands still when it is to end them.
func TestRequestsOfAnEntryPausedOverTheBoundKeepTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	n := startNaming(t)
	n.cutOrigin()
	n.setQueueing(standin.Queueing{Wait: longQueueWait})
	n.callBeside(func(ctx context.Context) {
		n.name()
		_ = hub.Sleep(ctx, versionBound-pauseBefore)
		n.pause(ctx, suspension)
	})
}
