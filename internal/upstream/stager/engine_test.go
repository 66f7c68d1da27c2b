package stager_test

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
)

// engine is a model engine that loads the chunks that are staged when it receives an order.
type engine struct {
	mu     sync.Mutex
	staged map[int][]byte
	report hub.UpstreamReport
	// loads are the versions loaded, 0 for a load of chunks that were not all of the ordered version.
	loads []uint64
	// partial are the orders to load some of the layers.
	partial []hub.LoadOrder
	// aborted is true if the last order aborted the requests in progress.
	aborted bool
	changed chan struct{}
	// conflicts is the number of orders still to reject.
	conflicts int
	// refusesChunks is true if no chunk can be staged.
	refusesChunks bool
	// beforeStage is called once, before a chunk is staged, afterStage with each chunk that has been staged.
	beforeStage func()
	afterStage  func(chunk int)
	// reported receives a value for each report, unless nobody waits for it.
	reported chan struct{}
}

func newEngine(held uint64) *engine {
	return &engine{staged: map[int][]byte{}, report: hub.UpstreamReport{Held: held, Layers: -1, Born: 1}, changed: make(chan struct{}, 64), reported: make(chan struct{})}
}

func (e *engine) Report(context.Context) (hub.UpstreamReport, error) {
	select {
	case e.reported <- struct{}{}:
	default:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

func (e *engine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	e.mu.Lock()
	before := e.beforeStage
	e.beforeStage = nil
	e.mu.Unlock()
	if before != nil {
		before()
	}
	e.mu.Lock()
	if e.refusesChunks {
		e.mu.Unlock()
		return hub.ErrUnavailable
	}
	e.staged[chunk] = slices.Clone(data)
	after := e.afterStage
	e.mu.Unlock()
	if after != nil {
		after(chunk)
	}
	return nil
}

func (e *engine) Staged(_ context.Context, _ string, chunk int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[chunk] == nil {
		return nil, hub.ErrNotFound
	}
	return e.staged[chunk], nil
}

func (e *engine) Load(_ context.Context, o hub.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conflicts > 0 || o.Orders != e.report.Orders {
		e.conflicts--
		return hub.ErrConflict
	}
	e.report.Orders++
	if !o.Layers.Empty() {
		e.report.Held, e.report.Layers = o.Version, o.Layers.End-o.Layers.First
		e.partial = append(e.partial, o)
		e.changed <- struct{}{}
		return nil
	}
	version := o.Version
	for i := range chunks {
		if !bytes.Equal(e.staged[i], chunkOf(o.Version, i)) {
			version = 0
		}
	}
	e.report.Held, e.report.Layers = version, -1
	e.loads = append(e.loads, version)
	e.aborted = o.AbortRunning
	e.changed <- struct{}{}
	return nil
}

// crash restarts the engine without weights; the staged chunks remain.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = hub.UpstreamReport{Layers: -1, Born: e.report.Born + 1}
}

// waitLoads waits until the engine has loaded exactly the wanted versions in this order.
func (e *engine) waitLoads(t *testing.T, want ...uint64) {
	t.Helper()
	deadline := time.After(testTimeout)
	for {
		e.mu.Lock()
		got := slices.Clone(e.loads)
		e.mu.Unlock()
		if slices.Equal(got, want) {
			return
		}
		select {
		case <-e.changed:
		case <-deadline:
			t.Fatalf("loaded %v, want %v", got, want)
		}
	}
}
