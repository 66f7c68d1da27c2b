package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// manyEntries is the number of entry processes, and that of engines with side processes.
	manyEntries = 12
	// manyCallers is the number of callers at each of these entry processes, callerStagger the time between their first requests.
	manyCallers   = 3
	callerStagger = 100 * time.Millisecond
	// longestWait is the longest wait in the queue of an engine, slowLoad the time that a load takes.
	longestWait = 1200 * time.Millisecond
	slowLoad    = 500 * time.Millisecond
	// afterSwitch is the time after switchLimit for which requests are sent.
	afterSwitch = 2 * time.Second
	// newerVersion is the version that is named.
	newerVersion = 2
)

// olderBeginnings keeps the requests that begin on an older version than the one named, with the times.
type olderBeginnings struct {
	mu    sync.Mutex
	at    []time.Time
	newer int
}

func (o *olderBeginnings) add(b standin.Beginning) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b.Version >= newerVersion {
		o.newer++
		return
	}
	o.at = append(o.at, b.At)
}

// check fails the test for requests that began on the older version later than switchLimit after the named time.
func (o *olderBeginnings) check(t *testing.T, named time.Time) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, at := range o.at {
		if after := at.Sub(named); after > switchLimit {
			late++
			latest = max(latest, after)
		}
	}
	t.Logf("%d requests began on version 1, %d on version 2", len(o.at), o.newer)
	assert.Check(t, late == 0, "%d of %d requests began on version 1 past the bound, the last one after %s", late, len(o.at), latest)
	assert.Check(t, len(o.at) > manyEntries && o.newer > manyEntries)
}

// Guards against requests that begin after the bound of a version when dozens of processes hear of it and engines have queues.
func TestManyProcessesKeepTheBoundOfAVersion(t *testing.T) {
	t.Parallel()
	var older olderBeginnings
	b, err := testbed.Start(testbed.Options{
		Places:  []deployment.Place{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}, {Domain: "c", Region: "r-c"}},
		Entries: manyEntries, Engines: manyEntries, Switch: switchLimit, Journal: journal.Discard(), Site: standin.SiteOptions{Began: older.add},
	})
	assert.NilError(t, err)
	t.Cleanup(b.Stop)
	assert.NilError(t, b.AwaitServing(t.Context(), testTimeout))
	for i, vm := range b.Vms {
		b.Site.SetQueueing(vm.Id, standin.Queueing{Wait: longestWait * time.Duration(i+1) / manyEntries, LoadTime: slowLoad})
	}
	b.Site.SetTargetVersion(newerVersion)
	named := time.Now()
	callUntil(b, named.Add(switchLimit+afterSwitch))
	older.check(t, named)
}

// callUntil sends requests to all entry processes until the given time, and returns once all have ended.
func callUntil(b *testbed.Testbed, until time.Time) {
	var running sync.WaitGroup
	for i := range b.Addresses {
		for j := range manyCallers {
			running.Go(func() {
				time.Sleep(time.Duration(j) * callerStagger)
				runManyCaller(b.Addresses[i].Callers, fmt.Sprintf("%d-%d", i, j), until)
			})
		}
	}
	running.Wait()
}

// runManyCaller sends requests to an entry process, one after the other, until the given time.
func runManyCaller(entry, name string, until time.Time) {
	caller := testbed.NewCaller()
	class := testbed.Classes(1, 0, 0)[0]
	for i := 0; time.Now().Before(until); i++ {
		_ = caller.Call(context.Background(), entry, class, "", fmt.Sprintf("%s-%d", name, i))
		time.Sleep(probeInterval)
	}
}
