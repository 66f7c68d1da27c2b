package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that a worker has taken.
type arrival struct {
	at     time.Time
	id     string
	worker string
	path   string
	parts  string
	tenant string
	body   int
}

// run is a request that a worker has begun to work on.
type run struct {
	at     time.Time
	id     string
	worker string
	held   uint64
	bad    string
}

// site is a small deployment on loopback addresses: the stand-ins and the processes of the project.
type site struct {
	record  *record
	store   *store
	folder  string
	root    string
	subnet  string
	ports   int
	workers []*worker
	entries []*process
	sides   []*process

	storeAddress  string
	originAddress string

	mu       sync.Mutex
	arrivals []arrival
	runs     []run
	all      []*process
}

// process is a process of the project.
type process struct {
	site   *site
	name   string
	role   string
	ip     string
	file   string
	worker *worker
	cmd    *exec.Cmd
	exited chan struct{}
}

// bounds are those of the small sites.
const contact = 3 * time.Second

func newSite(r *record, root string) (*site, error) {
	s := &site{record: r, store: newStore(), root: root}
	var err error
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	s.subnet, s.ports = freeSubnet()
	if s.storeAddress, err = s.listen(1, s.store); err != nil {
		return nil, err
	}
	for v := uint64(1); v <= 8; v++ {
		digestsOf(v)
	}
	s.originAddress, err = s.listen(2, origin{})
	return s, err
}

// freeSubnet returns the first three numbers of loopback addresses and a first port such that a row of ports from there is
// free on the addresses.
func freeSubnet() (string, int) {
	for {
		subnet, port := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250)), 20000+20*rand.Intn(600)
		free := true
		for _, host := range []int{10, 30} {
			for p := port; p < port+20 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, host, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return subnet, port
		}
	}
}

func (s *site) ip(host int) string { return fmt.Sprintf("%s.%d", s.subnet, host) }

func (s *site) listen(host int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.ip(host)+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

var zones = []string{"delta-a", "canal-a", "upper-a"}

var regions = map[string]string{"delta-a": "delta", "canal-a": "canal", "upper-a": "upper"}

// configure writes the desired state.
func (s *site) configure(version, issueTimeout int) {
	s.store.put("op/config", message("config.json", map[string]any{"Version": version, "Origin": s.originAddress, "IssueTimeout": issueTimeout}))
	s.record.add("operator: desired state %d acknowledged", version)
}

func (s *site) name(version uint64) {
	s.store.put("op/version/m0", []byte(fmt.Sprintf(`{"model":"m0","version":%d}`, version)))
	s.record.add("operator: version %d named and acknowledged", version)
}

// addWorker starts a worker. A model worker runs on the machine of a side process.
func (s *site) addWorker(service string, engine bool, slots int) (*worker, error) {
	n := len(s.workers)
	w := &worker{site: s, service: service, zone: zones[n%len(zones)], engine: engine, slots: slots, queue: 32, events: 12, first: 30 * time.Millisecond, pause: 10 * time.Millisecond,
		address: fmt.Sprintf("%s:%d", s.ip(30+n), s.ports+16), work: func(*http.Request) time.Duration { return 30 * time.Millisecond }}
	s.workers = append(s.workers, w)
	held := uint64(0)
	if engine {
		held = 1
		for i := range pieces {
			if w.staged == nil {
				w.staged, w.spoiltAt = map[int][]byte{}, map[int]time.Time{}
			}
			w.staged[i] = piece(1, i)
		}
	}
	return w, w.start(held)
}

// fields returns what the platform fills into the template of a process.
func (s *site) fields(p *process, zone string) map[string]any {
	zoneTable := []pair{}
	for _, z := range zones {
		zoneTable = append(zoneTable, pair{z, regions[z]})
	}
	seeds := []pair{}
	for i := range min(3, len(s.entries)) {
		seeds = append(seeds, pair{fmt.Sprint(i), fmt.Sprintf("%s:%d", s.ip(10+i), s.ports)})
	}
	out := map[string]any{
		"node_name": p.name, "zone": zone, "region": regions[zone], "ip": p.ip, "zones": zoneTable, "seeds": seeds,
		"port_range.0": s.ports + 1, "port_range.1": s.ports + 10, "platform.address": s.storeAddress,
		"bounds.grace_s": 8, "bounds.version_ms": 8000, "bounds.contact_ms": 3000, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 104, "bounds.retry_window_s": 10,
	}
	if p.role == "entry" {
		out["limits.link_mbps"], out["limits.memory_mb"] = "1000.0", 284
		out["listen.frontend"] = fmt.Sprintf("%s:%d", p.ip, s.ports+12)
		out["listen.ready"] = fmt.Sprintf("%s:%d", p.ip, s.ports+13)
		out["listen.control_plane"] = fmt.Sprintf("%s:%d", p.ip, s.ports)
	} else {
		out["limits.link_mbps"], out["limits.memory_mb"] = "7.6", 152
		out["app"], out["service"] = p.worker.address, p.worker.service
	}
	return out
}

// startEntries starts n entry processes, and startSides a side process beside each model worker.
func (s *site) startEntries(n int) error {
	for i := range n {
		s.entries = append(s.entries, &process{site: s, name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: s.ip(10 + i)})
	}
	for i, p := range s.entries {
		if err := p.configureAndStart(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startSides() error {
	for i, w := range s.workers {
		if !w.engine {
			continue
		}
		p := &process{site: s, name: fmt.Sprintf("side-%d", i+1), role: "side", ip: strings.Split(w.address, ":")[0], worker: w}
		s.sides = append(s.sides, p)
		if err := p.configureAndStart(w.zone); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) configureAndStart(zone string) error {
	text, err := os.ReadFile(filepath.Join(p.site.root, "deploy", p.role+".yaml"))
	if err != nil {
		return err
	}
	p.file = filepath.Join(p.site.folder, p.name+".yaml")
	if err := os.WriteFile(p.file, []byte(fill(string(text), p.site.fields(p, zone))), 0o600); err != nil {
		return err
	}
	return p.start()
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	words, err := runCommand(filepath.Join(p.site.root, "deploy", "system.toml"), p.role)
	if err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(p.site.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	p.cmd = exec.Command(filepath.Join(p.site.root, words[0]), words[1:]...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = p.site.root, logs, logs
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.site.folder, "LANG=C", "ORIOLEHUB_CONFIG=" + p.file}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) { _ = cmd.Wait(); close(exited) }(p.cmd, p.exited)
	p.site.mu.Lock()
	p.site.all = append(p.site.all, p)
	p.site.mu.Unlock()
	p.site.record.add("process %s started", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.site.record.add("signal %v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) frontend() string { return fmt.Sprintf("%s:%d", p.ip, p.site.ports+12) }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ready asks the process as the balancer does.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, p.site.ports+13, name("ready")))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the processes did not become ready")

// waitReady waits until all entry processes are ready.
func (s *site) waitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range s.entries {
			if p.ready() {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
	}
	return errNotReady
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	for _, p := range all {
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range all {
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

func (s *site) arrived(a arrival) {
	a.at = time.Now()
	s.record.add("worker %s received %s %s parts=%s", a.worker, a.id, a.path, a.parts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

func (s *site) ran(id, worker string, held uint64, bad string) {
	s.record.add("worker %s runs %s", worker, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{time.Now(), id, worker, held, bad})
}

// runsOf returns the runs by request.
func (s *site) runsOf() map[string][]run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]run{}
	for _, r := range s.runs {
		out[r.id] = append(out[r.id], r)
	}
	return out
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// call sends one client attempt to an entry process and reads the whole answer.
func (s *site) call(ctx context.Context, client *http.Client, entry *process, method, host, path, id string, timeout time.Duration, set func(http.Header), body io.Reader) answer {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry.frontend()+path, body)
	if err != nil {
		return answer{err: err}
	}
	if b, ok := body.(*paced); ok {
		r.ContentLength = int64(b.left)
	}
	r.Host = host
	r.Header.Set(name("attempt"), id)
	r.Header.Set(name("deadline"), fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer key-1")
	if set != nil {
		set(r.Header)
	}
	s.record.add("client sends %s to %s", id, entry.name)
	resp, err := client.Do(r)
	if err != nil {
		s.record.add("client got for %s: %v", id, err)
		return answer{err: err, took: time.Since(started)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	s.record.add("client got for %s: status %d, %d bytes, error %v", id, resp.StatusCode, len(data), err)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(started)}
}
