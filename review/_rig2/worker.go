package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineSlots = 16
	plainSlots  = 6
	// plainTime is the time that a plain worker takes for a request, firstEventTime and eventTime those of an engine.
	plainTime      = 15 * time.Millisecond
	firstEventTime = 60 * time.Millisecond
	eventTime      = 40 * time.Millisecond
	events         = 8
	chunkCount     = 64
	chunkBytes     = 32 << 10
)

// worker is a model engine or a plain worker that answers as the pages say.
type worker struct {
	world   *world
	id      string
	service string
	zone    string
	// address is the one that others use, bound that on which it listens.
	address string
	born    int64
	slots   chan struct{}
	// head, if not nil, replaces the worker's answers to requests.
	head func(net.Conn, *worker)
	// troubled is true while head is used.
	troubled atomic.Bool

	active  atomic.Int64
	mu      sync.Mutex
	version uint64
	orders  uint64
	entries uint64
	state   string
	staged  map[int][]byte
}

func (w *worker) engine() bool { return w.service == "assistant" }

// writeEntry writes the worker's entry to the store.
func (w *worker) writeEntry() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries++
	slots := plainSlots
	if w.engine() {
		slots = engineSlots
	}
	return w.world.store.put(name("servers")+w.id, fill("worker.json.tmpl", map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Slots": slots, "State": w.state, "Version": w.version, "Born": w.born, "Sequence": w.entries,
	}))
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == name("report"):
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(fill("report.json.tmpl", map[string]any{"Version": w.version, "Orders": w.orders, "Queued": 0, "Active": w.active.Load(), "Born": w.born}))
	case strings.HasPrefix(r.URL.Path, name("stage_put")), strings.HasPrefix(r.URL.Path, name("stage_get")):
		w.serveStage(rw, r)
	case r.URL.Path == name("order"):
		rw.WriteHeader(http.StatusBadRequest)
	default:
		w.serveRequest(rw, r)
	}
}

func (w *worker) serveStage(rw http.ResponseWriter, r *http.Request) {
	num, _ := strconv.Atoi(r.URL.Query().Get("num"))
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Method == http.MethodPut {
		w.staged[num], _ = io.ReadAll(r.Body)
		return
	}
	if w.staged[num] == nil {
		http.NotFound(rw, r)
		return
	}
	_, _ = rw.Write(w.staged[num])
}

// serveRequest runs a request, or rejects it.
func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("id"))
	rw.Header().Set(name("id"), id)
	if r.Header.Get(name("instance")) != w.id {
		w.world.record.line("worker %s rejects %s: meant for %s", w.id, id, r.Header.Get(name("instance")))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.engine() && w.troubled.Load() {
		w.world.troubled.Add(1)
		c, _, err := http.NewResponseController(rw).Hijack()
		if err == nil {
			w.active.Add(1)
			w.head(c, w)
			w.active.Add(-1)
		}
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		rw.Header().Set(name("not_run"), "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.active.Add(1)
	defer w.active.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	w.world.ran(w.id, id)
	rw.Header().Set(name("signature"), "signed-by-"+w.id)
	if !w.engine() {
		time.Sleep(plainTime)
		_, _ = fmt.Fprintf(rw, "%s ran %s\n", w.id, id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(name("last_event")))
	time.Sleep(firstEventTime)
	for i := last + 1; i <= events; i++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", i, id, i)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		time.Sleep(eventTime)
	}
}

// origin serves the manifest and the pieces of any version.
type origin struct{}

func piece(version string, n int) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", version, n))
	out := make([]byte, 0, chunkBytes)
	for len(out) < chunkBytes {
		out = append(out, sum[:]...)
	}
	return out
}

func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version := r.URL.Query().Get("version")
	switch {
	case strings.HasPrefix(r.URL.Path, name("manifest")):
		var digests []string
		for i := range chunkCount {
			sum := sha256.Sum256(piece(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		n, _ := strconv.Atoi(version)
		writeJSON(w, map[string]any{"model": "m1", "version": n, "chunk_bytes": chunkBytes, "layers": 16, "digests": digests})
	case strings.HasPrefix(r.URL.Path, name("piece")):
		n, _ := strconv.Atoi(r.URL.Query().Get("num"))
		_, _ = w.Write(piece(version, n))
	default:
		http.NotFound(w, r)
	}
}
