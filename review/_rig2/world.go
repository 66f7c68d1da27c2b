package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/soak/proxy"
)

const (
	adminPort   = ":7106"
	workerPort  = ":7107"
	entryMemory = 284
	sideMemory  = 152
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment: the store, the origin, workers, and the processes of the program.
type world struct {
	program string
	folder  string
	record  *record
	store   *store
	origin  string

	entries []*entryAddress
	workers []*worker

	mu        sync.Mutex
	processes []*process
	proxies   []*proxy.Proxy
	runs      map[string][]string
	failed    string
	version   int
	troubled  atomic.Int64
}

// entryAddress holds the addresses of an entry process.
type entryAddress struct {
	process        *process
	callers, ready string
}

// size is the number of processes and workers of a deployment.
type size struct{ entries, engines, plain int }

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == "" {
		w.failed = fmt.Sprintf(format, args...)
	}
}

// ran records that a worker has begun to work on a request.
func (w *world) ran(worker, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], worker)
}

func (w *world) runsOf(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// link starts a proxy in front of an address.
func (w *world) link(address, target string) string {
	p, err := proxy.Listen(address, target)
	if err != nil {
		w.fail("%v", err)
		return address
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxies = append(w.proxies, p)
	return p.Address()
}

// silence makes all channels that are open between processes, to the store and to workers forward nothing more.
func (w *world) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.proxies {
		p.Silence()
	}
}

func (w *world) serve(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.fail("%v", err)
		return address
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func zone(i int) string { return string("abc"[i%3]) }

// configure writes the desired state and returns the time of the acknowledgement.
func (w *world) configure(keys ...string) time.Time {
	w.version++
	return w.store.put(name("config"), fill("desired.json.tmpl", map[string]any{"Version": w.version, "Origin": w.origin, "Keys": keys}))
}

// start starts the deployment.
func (w *world) start(n size, keys ...string) error {
	w.store, w.runs = newStore(), map[string][]string{}
	storeAddress := w.serve(network.Loopback()+":0", w.store)
	w.origin = w.link(network.Loopback()+":0", w.serve(network.Loopback()+":0", origin{}))
	w.configure(keys...)
	var ips, peers []string
	for i := range n.entries {
		ips = append(ips, network.Loopback())
		if i < 3 {
			peers = append(peers, ips[i]+deployment.ControlPort)
		}
	}
	for i, ip := range ips {
		bound := network.Loopback()
		w.link(ip+deployment.ControlPort, bound+deployment.ControlPort)
		p := w.process(fmt.Sprintf("entry-%d", i), "entry", entryMemory, map[string]any{
			"Zone": zone(i), "Ip": ip, "Bound": bound, "Peers": peers, "Store": w.link(network.Loopback()+":0", storeAddress), "Link": 1000, "Entry": true,
		})
		w.entries = append(w.entries, &entryAddress{process: p, callers: bound + deployment.RequestPort, ready: bound + deployment.ReadyPort})
	}
	for i := range n.engines {
		ip, bound := network.Loopback(), network.Loopback()
		e := w.worker(fmt.Sprintf("i-engine%d", i), "assistant", ip, bound, i)
		w.link(ip+deployment.SharedPort, bound+deployment.SharedPort)
		w.process(fmt.Sprintf("side-%d", i), "side", sideMemory, map[string]any{
			"Zone": zone(i), "Ip": ip, "Bound": bound, "Peers": peers, "Store": w.link(network.Loopback()+":0", storeAddress), "Link": 7.6, "Upstream": e.address, "Entry": false,
		})
	}
	for i := range n.plain {
		w.worker(fmt.Sprintf("i-plain%d", i), "desk", network.Loopback(), network.Loopback(), i)
	}
	for _, p := range w.processes {
		go p.run()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for !isReady(e.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry processes are not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if w.failed != "" {
		return fmt.Errorf("%s", w.failed)
	}
	return nil
}

// worker starts a worker and writes its entry.
func (w *world) worker(id, service, ip, bound string, i int) *worker {
	slots := plainSlots
	if service == "assistant" {
		slots = engineSlots
	}
	e := &worker{world: w, id: id, service: service, zone: zone(i), born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), state: "ready", staged: map[int][]byte{}}
	if e.engine() {
		e.version = 1
	}
	e.address = w.link(ip+workerPort, w.serve(bound+workerPort, e))
	w.workers = append(w.workers, e)
	e.writeEntry()
	return e
}

// process writes the settings of a process.
func (w *world) process(id, role string, memory int, values map[string]any) *process {
	values["Id"], values["Memory"], values["AdminPort"] = id, memory, adminPort
	values["SharedPort"], values["ControlPort"], values["RequestPort"], values["ReadyPort"] = deployment.SharedPort, deployment.ControlPort, deployment.RequestPort, deployment.ReadyPort
	p := &process{world: w, id: id, role: role, file: filepath.Join(w.folder, id+".yaml"), memory: memory}
	if err := os.WriteFile(p.file, append(fill("settings.yaml.tmpl", values), '\n'), 0o600); err != nil {
		w.fail("%v", err)
	}
	var err error
	if p.log, err = openLog(w.folder, id); err != nil {
		w.fail("%v", err)
	}
	w.processes = append(w.processes, p)
	return p
}

func isReady(address string) bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + name("ready"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes.
func (w *world) stop() {
	for _, p := range w.processes {
		p.stop()
	}
	time.Sleep(200 * time.Millisecond)
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	err    error
	sentAt time.Time
	took   time.Duration
}

var requestNumber atomic.Int64

// send sends a request on a new channel.
func (w *world) send(entry, method, path, key string) answer {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
	r, err := http.NewRequest(method, "http://"+entry+path, nil)
	if err != nil {
		return answer{id: id, err: err}
	}
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(name("id"), id)
	r.Header.Set(name("wait"), "6000")
	r.Header.Set(name("model"), "m1")
	r.Header.Set(name("tokens"), "300,48")
	r.Header.Set(name("parts"), fmt.Sprintf("5c1e07a2:40,%s:260", id))
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a := answer{id: id, sentAt: time.Now()}
	resp, err := client.Do(r)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer resp.Body.Close()
	var body [4096]byte
	n := 0
	for n < len(body) {
		m, err := resp.Body.Read(body[n:])
		n += m
		if err != nil {
			break
		}
	}
	a.status, a.signed, a.body, a.took = resp.StatusCode, resp.Header.Get(name("signature")) != "", string(body[:n]), time.Since(a.sentAt)
	return a
}
