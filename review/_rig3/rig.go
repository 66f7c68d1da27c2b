// Command _rig3 plays the scripted cases of the review of issue 59: it starts a small deployment on loopback addresses, with the
// stand-ins of the project and the program as the deploy file builds it, disturbs it and checks one rule.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/platform/standin"
)

// errNotPlayed means that a case could not be played, so that nothing is known of the rule.
var errNotPlayed = errors.New("case could not be played")

// The ports of an entry process. Each has an address of its own.
const (
	portCallers = ":8005"
	portReady   = ":8002"
	portControl = ":8000"
	portReports = ":7700"
	portAdmin   = ":7715"
)

// record is what was sent, answered and run, written to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the program under review.
type process struct {
	name string
	file string
	args []string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// deployment is the program under review with its stand-ins.
type deployment struct {
	folder    string
	site      *standin.Site
	record    *record
	processes []*process
	// store is the address of the store for the processes, empty for that of the stand-in. stores are those for the entry
	// processes with the same index.
	store  string
	stores []string
	// zones are those of the edge machines, a for all others.
	zones []string
}

// address returns the IP address of the entry process with an index, of those that no other run is likely to use.
func address(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 10+i)
}

// entrySettings are the settings as deploy/entry.yaml gives them on a small deployment.
const entrySettings = `Id: "%s"
Domain: "%s"
Region: "r-%[2]s"
Regions: [{ Domain: "a", Region: "r-a" },{ Domain: "b", Region: "r-b" }]
ReportListen: "%s"
AdminListen: "%s"
Peers: [%s]
Store: "%s"
LinkMegabits: 1000.0
MemoryMegabytes: %d
MaxDescriptors: 4100
Bounds:
  Stop: 8s
  Switch: 8000ms
  StartGrace: 3000ms
  RepeatRatio: 0.2
  RepeatSlack: 104
  RepeatWindow: 10s
Listen: "%s"
ReadyListen: "%s"
ControlListen: "%s"
`

// entryMegabytes is the memory of an edge machine of the small sites.
const entryMegabytes = 284

// storeAddress returns the address of the store in the settings.
func (d *deployment) storeAddress() string {
	if d.store != "" {
		return d.store
	}
	return d.site.StoreAddress
}

// zoneOf returns the zone of an edge machine.
func (d *deployment) zoneOf(i int) string {
	if i < len(d.zones) {
		return d.zones[i]
	}
	return "a"
}

// startEntries starts n entry processes and waits until they are ready.
func (d *deployment) startEntries(n int) error {
	var peers []string
	for i := range min(n, 3) {
		peers = append(peers, `"`+address(i)+portControl+`"`)
	}
	for i := range n {
		ip, name, store := address(i), fmt.Sprintf("edge-a-%d", i+1), d.storeAddress()
		if i < len(d.stores) {
			store = d.stores[i]
		}
		text := fmt.Sprintf(entrySettings, name, d.zoneOf(i), ip+portReports, ip+portAdmin, strings.Join(peers, ","), store, entryMegabytes,
			ip+portCallers, ip+portReady, ip+portControl)
		if err := d.run(name, "entry", text); err != nil {
			return err
		}
	}
	for i := range n {
		if err := awaitReady(address(i) + portReady); err != nil {
			return err
		}
	}
	return nil
}

// sideSettings are the settings as deploy/side.yaml gives them on a small deployment.
const sideSettings = `Id: "%s"
Domain: "a"
Region: "r-a"
Regions: [{ Domain: "a", Region: "r-a" },{ Domain: "b", Region: "r-b" }]
ReportListen: "%s"
AdminListen: "%s"
Peers: [%s]
Store: "%s"
LinkMegabits: 7.6
MemoryMegabytes: 152
Bounds:
  Stop: 8s
  Switch: 8000ms
  StartGrace: 3000ms
  RepeatRatio: 0.2
  RepeatSlack: 104
  RepeatWindow: 10s
ControlListen: "%s"
Upstream: "%s"
Service: "%s"
`

// sidePeers is the number of entry processes in the settings of a side process.
const sidePeers = 2

// startSide starts the side process beside an engine, at the address of its machine.
func (d *deployment) startSide(i int, upstream string) error {
	ip, name := address(100+i), fmt.Sprintf("side-a-%d", i+1)
	var peers []string
	for e := range sidePeers {
		peers = append(peers, `"`+address(e)+portControl+`"`)
	}
	text := fmt.Sprintf(sideSettings, name, ip+portReports, ip+portAdmin, strings.Join(peers, ","), d.storeAddress(), ip+portReports, upstream, standin.Service)
	return d.run(name, "side", text)
}

// run starts a process with the given settings.
func (d *deployment) run(name, role, text string) error {
	p := &process{name: name, file: filepath.Join(d.folder, name+".yaml"), args: []string{"platform", role}}
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return nil
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.cmd = exec.Command("target/oriolehub", p.args...)
	p.cmd.Env = append(os.Environ(), "ORIOLEHUB_CONFIG="+p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until a readiness check succeeds.
func awaitReady(at string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + at + "/")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotPlayed, at)
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range d.processes {
		if !p.ended() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if d.site != nil {
		d.site.Close()
	}
	_ = os.RemoveAll(d.folder)
}

// cases are the cases by name. Each returns what has broken the rule, or an error if it could not be played.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return 2
	}
	rec, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "oriolehub-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &deployment{folder: folder, record: rec}
	defer d.stop()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
