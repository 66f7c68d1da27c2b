package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	loadTime  = 300 * time.Millisecond
)

// worker is a stand-in of a worker: a model worker if engine is true, otherwise one of a plain service.
type worker struct {
	site    *site
	service string
	zone    string
	address string
	engine  bool
	slots   int
	queue   int
	events  int
	// first is the time until the first token of a stream, pause that between two events.
	first, pause time.Duration
	// unframed makes answers come with neither a length nor chunks and end with their channel.
	unframed bool
	// work is the time that a plain request takes.
	work func(r *http.Request) time.Duration
	// hook, if set, is called when a request begins to run and may take it over by returning true.
	hook func(w *worker, rw http.ResponseWriter, r *http.Request) bool
	// onStage, if set, is called after each piece that was put.
	onStage func(w *worker, num int)

	mu       sync.Mutex
	life     int
	id       string
	born     int64
	seq      uint64
	state    string
	held     uint64
	bad      string // what was wrong with the loaded layers, empty if nothing
	orders   uint64
	busy     bool
	active   int
	waiting  int
	staged   map[int][]byte
	spoiltAt map[int]time.Time
	conns    map[net.Conn]bool
	server   *http.Server
	up       bool
	stopBeat chan struct{}
}

// start begins a new lifetime of the worker.
func (w *worker) start(held uint64) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(w.address, ":", "-"), w.life)
	w.born, w.seq, w.state, w.held, w.orders, w.busy, w.active, w.waiting, w.up = time.Now().UnixMilli(), 0, "ready", held, 0, false, 0, 0, true
	w.conns = map[net.Conn]bool{}
	if w.staged == nil {
		w.staged, w.spoiltAt = map[int][]byte{}, map[int]time.Time{}
	}
	life := w.life
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(life, rw, r) }), ConnState: w.connState}
	w.stopBeat = make(chan struct{})
	stop, server, id := w.stopBeat, w.server, w.id
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.beat()
	go w.beats(stop, id)
	return nil
}

func (w *worker) connState(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// crash ends the lifetime: all channels are reset, the entry lapses after three heartbeats of silence, and after back
// the worker starts again under another id, without layers.
func (w *worker) crash(back time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server, id, conns := w.server, w.id, w.conns
	close(w.stopBeat)
	w.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = server.Close()
	w.site.record.add("worker %s crashed", id)
	time.AfterFunc(3*heartbeat, func() { w.site.store.remove("servers/" + id) })
	time.AfterFunc(back, func() {
		if err := w.start(0); err != nil {
			w.site.record.add("worker at %s could not start again: %v", w.address, err)
			return
		}
		w.site.record.add("worker %s started at the address of %s", w.idNow(), id)
	})
}

func (w *worker) idNow() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// beats writes the entry about every heartbeat.
func (w *worker) beats(stop chan struct{}, id string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
			w.beat()
		}
	}
}

// beat writes the entry; the store changes it only where more than its count has changed.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.seq++
	w.site.store.put("servers/"+w.id, message("entry.json", map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Slots": w.slots, "State": w.state, "Born": w.born, "Seq": w.entrySeq(), "Engine": w.engine, "Held": w.held,
	}))
}

// entrySeq returns the count in the entry, which changes with what the entry says.
func (w *worker) entrySeq() uint64 {
	n := w.orders + 1
	if w.held != 0 {
		n++
	}
	if w.state != "ready" {
		n++
	}
	return n
}

func (w *worker) serve(life int, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	current := w.up && w.life == life
	w.mu.Unlock()
	if !current {
		panic(http.ErrAbortHandler)
	}
	switch {
	case w.engine && r.URL.Path == name("report"):
		w.serveReport(rw)
	case w.engine && strings.HasPrefix(r.URL.Path, name("stagePut")):
		w.servePut(rw, r)
	case w.engine && strings.HasPrefix(r.URL.Path, name("stageGet")):
		w.serveGet(rw, r)
	case w.engine && r.URL.Path == name("order"):
		w.serveOrder(rw, r)
	case r.URL.Path == "/healthz":
		rw.Header().Set(name("instance"), w.idNow())
	default:
		w.serveRequest(rw, r)
	}
}

func (w *worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	body := message("report.json", map[string]any{"Born": w.born, "Held": w.held, "Busy": w.busy, "Orders": w.orders, "Active": w.active})
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(body)
}

func (w *worker) servePut(rw http.ResponseWriter, r *http.Request) {
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.staged[num] = data
	delete(w.spoiltAt, num)
	w.mu.Unlock()
	if w.onStage != nil {
		w.onStage(w, num)
	}
}

func (w *worker) serveGet(rw http.ResponseWriter, r *http.Request) {
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	w.mu.Lock()
	data, ok := w.staged[num]
	data = append([]byte(nil), data...)
	held := make([]int, 0, len(w.staged))
	for n := range w.staged {
		held = append(held, n)
	}
	w.mu.Unlock()
	switch {
	case err != nil:
		writeJSON(rw, map[string]any{"held": held})
	case !ok:
		http.NotFound(rw, r)
	default:
		_, _ = rw.Write(data)
	}
}

// spoil makes a staged piece turn bad.
func (w *worker) spoil(num int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.staged[num]) == 0 {
		return
	}
	w.staged[num][0] ^= 0x55
	w.spoiltAt[num] = time.Now()
	w.site.record.add("worker %s: staged piece %d turned bad", w.id, num)
}

func (w *worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Op       string  `json:"op"`
		Model    string  `json:"model"`
		Version  uint64  `json:"version"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Expected != nil && *order.Expected != w.orders || w.busy {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.orders++
	w.busy = true
	bad := w.judgeStaged(order.Version)
	w.site.record.add("worker %s accepted the order to load version %d; staged pieces: %s", w.id, order.Version, orNone(bad, "all good"))
	life := w.life
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		if w.life == life && w.up {
			w.busy, w.held, w.bad = false, order.Version, bad
		}
		w.mu.Unlock()
		w.beat()
	})
	rw.WriteHeader(http.StatusAccepted)
}

func orNone(text, none string) string {
	if text == "" {
		return none
	}
	return text
}

// judgeStaged returns what is wrong with the staged pieces now, as WHOLE counts it; the caller holds mu.
func (w *worker) judgeStaged(version uint64) string {
	var bad []string
	for i := range pieces {
		at, spoilt := w.spoiltAt[i]
		switch {
		case digest(w.staged[i]) == digests[version][i]:
		case spoilt && time.Since(at) <= 3*time.Second:
			w.site.record.add("worker %s: piece %d had turned bad only %.2f s before: excused", w.id, i, time.Since(at).Seconds())
		case spoilt:
			bad = append(bad, fmt.Sprintf("piece %d had turned bad %.2f s before", i, time.Since(at).Seconds()))
		default:
			bad = append(bad, fmt.Sprintf("piece %d is missing or of another version", i))
		}
	}
	return strings.Join(bad, ", ")
}

func (w *worker) notRun(rw http.ResponseWriter, status int, r *http.Request) {
	rw.Header().Set(name("attempt"), r.Header.Get(name("attempt")))
	if status == http.StatusMisdirectedRequest {
		rw.Header().Set(name("instance"), w.idNow())
	} else {
		rw.Header().Set(name("notRun"), "1")
	}
	rw.WriteHeader(status)
}

func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("attempt"))
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	self, held, busy, bad := w.id, w.held, w.busy, w.bad
	full := w.active >= w.slots+w.queue
	if !full {
		w.active++
	}
	w.mu.Unlock()
	if !full {
		defer func() { w.mu.Lock(); w.active--; w.mu.Unlock() }()
	}
	switch {
	case r.Header.Get(name("expected")) != self || w.engine && held == 0 && !busy:
		w.notRun(rw, http.StatusMisdirectedRequest, r)
		return
	case full || w.engine && busy:
		w.notRun(rw, http.StatusServiceUnavailable, r)
		return
	}
	w.site.arrived(arrival{id: id, worker: self, path: r.URL.Path, parts: r.Header.Get(name("parts")), tenant: r.Header.Get(name("tenant")), body: len(body)})
	if w.engine {
		time.Sleep(w.first)
		if r.Context().Err() != nil {
			return
		}
	}
	w.site.ran(id, self, held, bad)
	if w.hook != nil && w.hook(w, rw, r) {
		return
	}
	rw.Header().Set(name("attempt"), id)
	rw.Header().Set(name("signature"), "sig."+id)
	if w.unframed {
		// The server of this library then sends neither a length nor chunks and closes the channel at the end.
		rw.Header().Set("Transfer-Encoding", "identity")
	} else {
		rw.Header().Set("Keep-Alive", "timeout=10")
	}
	if !w.engine {
		time.Sleep(w.work(r))
		rw.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(rw, "done "+id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(name("weights"), strconv.FormatUint(held, 10))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= w.events; n++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, id, n)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		time.Sleep(w.pause)
	}
}
