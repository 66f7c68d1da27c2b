package harness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/entry"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/process/side"
	"github.com/oriolehub/oriolehub/internal/rules/ledger"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
	"github.com/oriolehub/oriolehub/internal/standin/kv"
	"github.com/oriolehub/oriolehub/internal/standin/origin"
	"github.com/oriolehub/oriolehub/internal/standin/service"
	"github.com/oriolehub/oriolehub/internal/standin/vmlist"
	"github.com/oriolehub/oriolehub/internal/state/store"
	"github.com/oriolehub/oriolehub/internal/weights/replica"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// listInterval is the interval between reads of the VM list; listLag is the delay after which the list shows a change.
const (
	listInterval = 500 * time.Millisecond
	listLag      = time.Second
)

// Options configure a Harness.
type Options struct {
	Deployment deployment.Deployment
	// Vms is the number of VMs with a model engine, ServiceVms of those with a plain service.
	Vms        int
	ServiceVms int
	Entries    int
	Network    network.Options
	// OriginPerSecond is the bandwidth of the origin's link in bytes per second; 0 means no limit.
	OriginPerSecond float64
	Engine          engine.Options
	// FencedPercent is the percentage of engines that reject obsolete fencing tokens.
	FencedPercent int
	// MaxConcurrent is the maximum number of concurrent requests at a warm upstream.
	MaxConcurrent int
	// SlowStartRequests is passed to the settings of the side processes; 1 turns slow start off.
	SlowStartRequests int
	// StartConcurrent is the limit of concurrent requests at an engine at the beginning of slow start; 0 means 1.
	StartConcurrent int
	// MemoryLimit limits the weights in the memory of a side process, in bytes; 0 means the default of the settings.
	MemoryLimit int64
	// ShareChunks makes all VMs share one copy of equal chunks in memory, for experiments with many VMs.
	// Tests of failures leave it unset, because a shared valid chunk would hide a corrupt copy on another VM.
	ShareChunks bool
	Topology    hub.Topology
	Picker      hub.Picker
	Journal     *journal.Journal
	// QueueWait is the maximum time that a request waits in the queue of an entry process; 0 means the default.
	QueueWait time.Duration
	// MaxBody is the maximum length in bytes of the body of a request; 0 means the default.
	MaxBody int64
	// TlsSettings returns the TLS settings of a process; if nil, connections use no TLS.
	TlsSettings func(id, role string) settings.Tls
	// WrapWeights, if not nil, returns a wrapper for the chunk server of a VM.
	WrapWeights func(vm int, s message.DRPCWeightsServer) message.DRPCWeightsServer
	// WrapService, if not nil, returns a wrapper for the plain service of a VM.
	WrapService func(vm int, s http.Handler) http.Handler
}

// Vm is a VM with its upstream, either Engine or Service, and its side process.
type Vm struct {
	Index     int
	Id        string
	Place     deployment.Place
	Group     string
	Node      *network.Node
	Engine    *engine.Server
	Service   *service.Server
	Side      *side.Side
	upstream  *httpServer
	settings  settings.Side
	overrides side.Overrides
}

// Harness is a running deployment with its stand-in servers.
type Harness struct {
	options Options
	Store   *kv.Server
	Origin  *origin.Server
	VmList  *vmlist.Server
	// Runs counts the executions of each request by the plain services.
	Runs    *service.Runs
	Network *network.Network
	Vms     []*Vm
	Entries []*entry.Entry
	Ledger  *ledger.Ledger

	mu        sync.Mutex
	servers   []*httpServer
	pool      *replica.Pool
	storeURL  string
	listURL   string
	originURL string
}

type httpServer struct {
	http     *http.Server
	listener net.Listener
}

// Start starts the stand-in servers, the entry processes and the VMs. If one fails to start, Start stops the others.
func Start(o Options) (*Harness, error) {
	h := &Harness{
		options: o,
		Store:   kv.New(),
		Origin:  origin.New(),
		VmList:  vmlist.New(listLag),
		Runs:    service.NewRuns(),
		Network: network.New(o.Network),
	}
	if o.ShareChunks {
		h.pool = replica.NewPool()
	}
	if o.OriginPerSecond > 0 {
		h.Origin.LimitLink(o.OriginPerSecond)
	}
	if err := h.startPlatform(); err != nil {
		h.Stop()
		return nil, err
	}
	for i := range o.Entries {
		if err := h.startEntry(i); err != nil {
			h.Stop()
			return nil, err
		}
	}
	for range o.Vms {
		if _, err := h.AddVm(o.Deployment.EngineGroup); err != nil {
			h.Stop()
			return nil, err
		}
	}
	for range o.ServiceVms {
		if _, err := h.AddVm(o.Deployment.OnceGroup); err != nil {
			h.Stop()
			return nil, err
		}
	}
	return h, nil
}

func (h *Harness) startPlatform() error {
	kvServer, err := h.serve(h.Store)
	if err != nil {
		return err
	}
	originServer, err := h.serve(h.Origin)
	if err != nil {
		return err
	}
	listServer, err := h.serve(h.VmList)
	if err != nil {
		return err
	}
	h.listURL = "http://" + listServer.listener.Addr().String()
	h.storeURL = "http://" + kvServer.listener.Addr().String()
	h.originURL = "http://" + originServer.listener.Addr().String()
	h.Ledger = ledger.New(store.New(h.storeURL))
	return nil
}

func (h *Harness) serve(handler http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for stand-in server: %w", err)
	}
	s := &httpServer{listener: l, http: &http.Server{Handler: handler}}
	go func() { _ = s.http.Serve(l) }()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, s)
	return s, nil
}

func (h *Harness) place(i int) deployment.Place {
	places := h.options.Deployment.Places
	return places[i%len(places)]
}

func (h *Harness) commonSettings(id, role string, place deployment.Place) settings.Common {
	c := settings.DefaultSide().Common
	c.Id = id
	c.Deployment = h.options.Deployment.Name
	c.Domain = place.Domain
	c.Region = place.Region
	c.ControlListen = "127.0.0.1:0"
	if h.options.TlsSettings != nil {
		c.Tls = h.options.TlsSettings(id, role)
	}
	for _, e := range h.Entries {
		c.Peers = append(c.Peers, e.Address())
	}
	return c
}

func (h *Harness) startEntry(i int) error {
	place := h.place(i)
	s := settings.DefaultEntry()
	s.Common = h.commonSettings(fmt.Sprintf("entry-%d", i), hub.RoleEntry, place)
	s.Listen = "127.0.0.1:0"
	s.Store.Url = h.storeURL
	s.Weights.Urls = []string{h.originURL}
	s.VmList = settings.VmList{Url: h.listURL, Interval: settings.Duration(listInterval)}
	if h.options.QueueWait > 0 {
		s.Requests.QueueWait = settings.Duration(h.options.QueueWait)
	}
	if h.options.MaxBody > 0 {
		s.Requests.MaxBody = settings.Bytes(h.options.MaxBody)
	}
	node := h.Network.NewNode(s.Id, place.Domain, place.Region)
	e, err := entry.Start(s, h.options.Journal, entry.Overrides{
		Dial:   h.Network.Dialer(node),
		Listen: h.Network.Listener(node),
		Picker: h.options.Picker,
	})
	if err != nil {
		return err
	}
	h.Entries = append(h.Entries, e)
	return nil
}

// AddVm starts another VM with an upstream of the given group and its side process.
func (h *Harness) AddVm(group string) (*Vm, error) {
	o := &h.options
	i := len(h.Vms)
	vm := &Vm{Index: i, Id: fmt.Sprintf("%s-%03d", group, i), Place: h.place(i), Group: group}
	vm.Node = h.Network.NewNode(vm.Id, vm.Place.Domain, vm.Place.Region)
	s := settings.DefaultSide()
	s.Common = h.commonSettings(vm.Id, hub.RoleSide, vm.Place)
	s.Group = group
	s.Upstream.MaxConcurrent = o.MaxConcurrent
	s.Upstream.StartConcurrent = max(1, o.StartConcurrent)
	s.Upstream.SlowStartRequests = max(1, o.SlowStartRequests)
	var handler http.Handler
	if group == o.Deployment.EngineGroup {
		options := o.Engine
		options.ChecksFence = i*100 < o.FencedPercent*o.Vms
		vm.Engine = engine.New(options)
		handler = vm.Engine
		s.Weights.Urls = []string{h.originURL}
		s.Weights.OriginPerSecond = settings.Bytes(o.OriginPerSecond)
		s.Weights.LinkPerSecond = settings.Bytes(o.Network.VmPerSecond)
		if o.MemoryLimit > 0 {
			s.Weights.MemoryLimit = settings.Bytes(o.MemoryLimit)
		}
	} else {
		vm.Service = service.New(h.Runs)
		handler = vm.Service
		if o.WrapService != nil {
			handler = o.WrapService(i, vm.Service)
		}
		s.Upstream.Kind = "Service"
		s.Upstream.StartConcurrent = o.MaxConcurrent
	}
	upstream, err := h.serve(handler)
	if err != nil {
		return nil, err
	}
	vm.upstream = upstream
	s.Upstream.Url = "http://" + upstream.listener.Addr().String()
	vm.settings = s
	vm.overrides = h.overrides(vm)
	h.Vms = append(h.Vms, vm)
	h.VmList.Put(hub.VM{Id: vm.Id})
	return vm, h.StartSide(vm)
}

func (h *Harness) overrides(vm *Vm) side.Overrides {
	o := side.Overrides{
		Dial:     h.Network.Dialer(vm.Node),
		Listen:   h.Network.Listener(vm.Node),
		Pool:     h.pool,
		Topology: h.options.Topology,
	}
	if h.options.WrapWeights != nil {
		o.WrapWeights = func(s message.DRPCWeightsServer) message.DRPCWeightsServer {
			return h.options.WrapWeights(vm.Index, s)
		}
	}
	return o
}

// StartSide starts the side process of a VM, without any cached weights.
func (h *Harness) StartSide(vm *Vm) error {
	s, err := side.Start(vm.settings, h.options.Journal, vm.overrides)
	if err != nil {
		return err
	}
	vm.Side = s
	return nil
}

// KillVm stops a VM's side process and upstream abruptly.
func (h *Harness) KillVm(vm *Vm) {
	vm.Side.Kill()
	_ = vm.upstream.http.Close()
}

// Apply replaces the current rules by text.
func (h *Harness) Apply(ctx context.Context, text string) error {
	edit, err := h.edit(ctx, text)
	if err != nil {
		return err
	}
	_, _, err = h.Ledger.Apply(ctx, edit)
	return err
}

// edit returns an edit that replaces the current rules by text.
func (h *Harness) edit(ctx context.Context, text string) (ledger.Edit, error) {
	_, revision, err := h.Ledger.Read(ctx)
	if err != nil {
		return ledger.Edit{}, err
	}
	return ledger.Edit{Text: text, Base: revision, Author: "harness", WriteId: fmt.Sprintf("harness-%d", revision)}, nil
}

// ErrTimeout means that a condition was not met within the time limit of Await.
var ErrTimeout = errors.New("condition not met within the time limit")

// Await polls until condition returns true. It returns ErrTimeout after limit, or the error of ctx if ctx is done first.
func Await(ctx context.Context, limit time.Duration, condition func() bool) error {
	const poll = 20 * time.Millisecond
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return ErrTimeout
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(poll):
		}
	}
	return nil
}

// EngineVms returns the VMs with a model engine.
func (h *Harness) EngineVms() []*Vm {
	var out []*Vm
	for _, vm := range h.Vms {
		if vm.Engine != nil {
			out = append(out, vm)
		}
	}
	return out
}

// Serving returns the number of engine VMs that serve the weights with the given root digest.
func (h *Harness) Serving(root string) int {
	n := 0
	for _, vm := range h.EngineVms() {
		if vm.Side != nil && vm.Side.Member().ServingRoot == root {
			n++
		}
	}
	return n
}

// Held returns the number of engine VMs that hold the complete weights with the given root digest.
func (h *Harness) Held(root string) int {
	n := 0
	for _, vm := range h.EngineVms() {
		if m := vm.Side.Member(); m.HeldRoot == root || m.ServingRoot == root {
			n++
		}
	}
	return n
}

// Stop kills all processes and closes the stand-in servers and the upstreams.
func (h *Harness) Stop() {
	var running sync.WaitGroup
	for _, vm := range h.Vms {
		if vm.Side != nil {
			running.Go(vm.Side.Kill)
		}
	}
	for _, e := range h.Entries {
		running.Go(e.Kill)
	}
	running.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		_ = s.http.Close()
	}
}
