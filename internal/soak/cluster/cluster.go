package cluster

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/proxy"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// frontPort is the port of the proxy in front of an upstream, on the address of its VM.
const frontPort = ":7105"

const (
	// InitialVersion is the version that engines hold at the start.
	InitialVersion = 1
	// seedPeers is the number of entry processes in the settings of each process.
	seedPeers     = 3
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 50 * time.Millisecond
)

// Program is how a process of the program is started.
type Program struct {
	// Path is the executable, Env its environment.
	Path string
	Env  []string
}

// Options configure a Cluster.
type Options struct {
	Size plan.Size
	// Memory is the memory in the settings of each process in megabytes, 0 to name none.
	Memory  int
	Program Program
	// Folder receives the settings and the logs of the processes.
	Folder string
	Faults *standin.Faults
	// Switch is the time within which a named version replaces older ones.
	Switch time.Duration
	// Events is the number of events of each stream.
	Events int
	// Second is the number of upstreams of the second plain service, to which changes of routes move requests.
	Second int
	// Observe is called with each request at an upstream, OnExit with each process that ends by itself.
	Observe func(standin.Arrival)
	OnExit  func(error)
	// Began is called with each request that an engine begins to answer.
	Began func(standin.Beginning)
	// BrokeOff is called with the ID of each request whose response an upstream breaks off.
	BrokeOff func(requestId string)
	// Ended is called with the ID of each request on which an upstream has ceased to work.
	Ended func(requestId string)
}

// Cluster is a running deployment.
type Cluster struct {
	Site      *standin.Site
	Processes map[string]*Process
	Engines   map[string]*standin.Engine

	options Options
	peers   []string
	// ready holds the addresses for readiness checks of the entry processes, listeners those of their callers' listeners, vms
	// those of the VMs of engines.
	ready     map[string]string
	listeners map[string]string
	vms       map[string]string

	mu    sync.Mutex
	links map[string]*link
}

// link is a proxy with the modes that are in force, of which the last one counts.
type link struct {
	proxy *proxy.Proxy
	modes []proxy.Mode
}

// Start starts a deployment, which runs until Stop.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{options: o, Processes: map[string]*Process{}, Engines: map[string]*standin.Engine{}, ready: map[string]string{}, listeners: map[string]string{}, vms: map[string]string{}, links: map[string]*link{}}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	site, err := standin.NewSite(standin.SiteOptions{Faults: c.options.Faults, Observe: c.options.Observe, Began: c.options.Began, BrokeOff: c.options.BrokeOff, Ended: c.options.Ended, Front: c.front})
	if err != nil {
		return err
	}
	c.Site = site
	var entries []string
	for i := range c.options.Size.Entries {
		entries = append(entries, network.Loopback())
		if i < seedPeers {
			c.peers = append(c.peers, entries[i]+deployment.ControlPort)
		}
	}
	for i, ip := range entries {
		if err := c.addEntry(i, ip); err != nil {
			return err
		}
	}
	for i := range c.options.Size.Engines {
		if err := c.addEngine(i); err != nil {
			return err
		}
	}
	for i := range c.options.Size.Plain {
		if err := site.AddPlainUpstream(plan.PlainName(i), network.Loopback(), Domain(i)); err != nil {
			return err
		}
	}
	for i := range c.options.Second {
		if err := site.AddPlainUpstreamOf(standin.SecondPlainService, secondName(i), network.Loopback(), Domain(i)); err != nil {
			return err
		}
	}
	return nil
}

// Kinds of upstreams, with which their names begin.
const (
	kindPlain  = "plain"
	kindSecond = "second"
)

// secondName returns the name of the upstream of the second plain service with an index.
func secondName(i int) string { return fmt.Sprintf("%s-%d", kindSecond, i) }

// Domain returns the failure domain of the entry process, engine or plain upstream with an index.
func Domain(i int) string { return plan.Domains[i%len(plan.Domains)] }

// Place returns the failure domain and the service of an upstream.
func Place(upstream string) (domain, service string) {
	kind, number, _ := strings.Cut(upstream, "-")
	i, _ := strconv.Atoi(number)
	switch kind {
	case kindPlain:
		return Domain(i), standin.PlainService
	case kindSecond:
		return Domain(i), standin.SecondPlainService
	default:
		return Domain(i), standin.Service
	}
}

// front puts a proxy in front of a server. That of an upstream listens on frontPort of an address next to it.
func (c *Cluster) front(name, address string) (string, error) {
	if name == plan.Origin {
		return c.addLink(name, "127.0.0.1:0", address)
	}
	return c.addLink(name, c.vmAddress(name)+frontPort, address)
}

// vmAddress returns the IP address of the VM of an upstream, where its side process listens too.
func (c *Cluster) vmAddress(upstream string) string {
	if ip := c.vms[upstream]; ip != "" {
		return ip
	}
	return network.Loopback()
}

// addLink starts a proxy and returns its address.
func (c *Cluster) addLink(name, address, target string) (string, error) {
	p, err := proxy.Listen(address, target)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[name] = &link{proxy: p}
	return p.Address(), nil
}

func (c *Cluster) addEntry(i int, ip string) error {
	name, bound := plan.EntryName(i), network.Loopback()
	if _, err := c.addLink(plan.ControlLink(name), ip+deployment.ControlPort, bound+deployment.ControlPort); err != nil {
		return err
	}
	if _, err := c.addLink(plan.CallersLink(name), ip+deployment.RequestPort, bound+deployment.RequestPort); err != nil {
		return err
	}
	c.ready[name], c.listeners[name] = bound+deployment.ReadyPort, bound+deployment.RequestPort
	return c.run(name, "entry", map[string]string{
		"Domain": Domain(i), "Listen": bound + deployment.RequestPort, "ReadyListen": bound + deployment.ReadyPort,
		"ControlListen": ip + deployment.ControlPort, "ControlBind": bound + deployment.ControlPort, "ReportListen": ip + deployment.SharedPort,
	})
}

func (c *Cluster) addEngine(i int) error {
	name, ip, bound := plan.SideName(i), network.Loopback(), network.Loopback()
	c.vms[plan.EngineName(i)] = ip
	engine, address, err := c.Site.AddEngine(plan.EngineName(i), bound, Domain(i), InitialVersion)
	if err != nil {
		return err
	}
	engine.SetEvents(c.options.Events)
	c.Engines[plan.EngineName(i)] = engine
	if _, err := c.addLink(plan.ControlLink(name), ip+deployment.SharedPort, bound+deployment.SharedPort); err != nil {
		return err
	}
	return c.run(name, "side", map[string]string{
		"Domain": Domain(i), "ControlListen": ip + deployment.SharedPort, "ControlBind": bound + deployment.SharedPort, "ReportListen": ip + deployment.SharedPort,
		"Upstream": address, "Service": standin.Service,
	})
}

// run writes the settings of a process and starts it.
func (c *Cluster) run(name, role string, values map[string]string) error {
	store, err := c.addLink(plan.StoreLink(name), "127.0.0.1:0", c.Site.StoreAddress)
	if err != nil {
		return err
	}
	values["Id"], values["Region"], values["Store"] = name, "r-"+values["Domain"], store
	file := filepath.Join(c.options.Folder, name+".yaml")
	if err := os.WriteFile(file, []byte(c.settings(values)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(c.options.Folder, name+".log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	p := &Process{Name: name, program: c.options.Program, args: []string{"platform", role, "--settings", file}, log: log, onExit: c.options.OnExit}
	c.Processes[name] = p
	return p.start()
}

// settings returns the text of a settings file.
func (c *Cluster) settings(values map[string]string) string {
	var b strings.Builder
	for key, value := range values {
		fmt.Fprintf(&b, "%s: %q\n", key, value)
	}
	b.WriteString("Regions:\n")
	for _, d := range plan.Domains {
		fmt.Fprintf(&b, "  - Domain: %q\n    Region: %q\n", d, "r-"+d)
	}
	b.WriteString("Peers:\n")
	for _, peer := range c.peers {
		fmt.Fprintf(&b, "  - %q\n", peer)
	}
	if c.options.Memory > 0 {
		fmt.Fprintf(&b, "MemoryMegabytes: %d\n", c.options.Memory)
	}
	fmt.Fprintf(&b, "LinkMegabits: 100\nBounds:\n  Switch: %s\n", c.options.Switch)
	return b.String()
}

// CallersAddress returns the address at which callers reach an entry process.
func (c *Cluster) CallersAddress(entry string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[plan.CallersLink(entry)].proxy.Address()
}

// ListenerAddress returns the address of the callers' listener of an entry process, which no fault of a link disturbs.
func (c *Cluster) ListenerAddress(entry string) string { return c.listeners[entry] }

// HasLink reports whether the deployment has a link of a name.
func (c *Cluster) HasLink(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[name] != nil
}

// SetMode puts a mode in force on a link and returns the function that ends it.
func (c *Cluster) SetMode(name string, m proxy.Mode) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[name]
	l.modes = append(l.modes, m)
	l.proxy.Set(m)
	return func() { c.endMode(l, m) }
}

func (c *Cluster) endMode(l *link, m proxy.Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range l.modes {
		if l.modes[i] == m {
			l.modes = append(l.modes[:i], l.modes[i+1:]...)
			break
		}
	}
	last := proxy.Pass
	if n := len(l.modes); n > 0 {
		last = l.modes[n-1]
	}
	l.proxy.Set(last)
}

// SetCapacity changes what the connections of a link can carry.
func (c *Cluster) SetCapacity(name string, capacity proxy.Capacity) {
	c.proxy(name).SetCapacity(capacity)
}

// Reset resets the connections of a link, Silence makes them forward nothing more.
func (c *Cluster) Reset(name string)   { c.proxy(name).Reset() }
func (c *Cluster) Silence(name string) { c.proxy(name).Silence() }

func (c *Cluster) proxy(name string) *proxy.Proxy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[name].proxy
}

// AwaitReady waits until a process serves, a side process until it accepts connections. It returns false after limit.
func (c *Cluster) AwaitReady(name string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(probeInterval) {
		if c.isReady(name) {
			return true
		}
	}
	return false
}

func (c *Cluster) isReady(name string) bool {
	address := c.ready[name]
	if address == "" {
		conn, err := net.DialTimeout("tcp", c.proxy(plan.ControlLink(name)).Address(), probeTimeout)
		if err != nil {
			return false
		}
		return conn.Close() == nil
	}
	client := http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + address + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WrongWeights returns a line for each load of an engine whose content is not that of a named version.
func (c *Cluster) WrongWeights(newest uint64) []string {
	digests := map[string]bool{}
	for v := uint64(InitialVersion); v <= newest; v++ {
		digests[c.Site.Origin.Digest(v)] = true
	}
	var out []string
	for name, e := range c.Engines {
		for _, digest := range e.Loads() {
			if !digests[digest] {
				out = append(out, fmt.Sprintf("%s has loaded content with digest %s, which is not that of a named version", name, digest))
			}
		}
	}
	return out
}

// Stop ends all processes, which may be paused, and then the stand-ins and proxies.
func (c *Cluster) Stop() {
	var running sync.WaitGroup
	for _, p := range c.Processes {
		running.Go(func() {
			p.turn.Lock()
			p.end(syscall.SIGKILL)
			_ = p.log.Close()
		})
	}
	running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.proxy.Close()
	}
	if c.Site != nil {
		c.Site.Close()
	}
}
