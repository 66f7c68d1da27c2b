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

// listInterval is the time between two reads of the VM list, listLag its lag.
const (
	listInterval = 500 * time.Millisecond
	listLag      = time.Second
)

// Options choose the size and the rates of a harness.
type Options struct {
	Deployment deployment.Deployment
	// Vms is the number of engine VMs, OnceVms that of the plain service.
	Vms     int
	OnceVms int
	Entries int
	Network network.Options
	// OriginPerSecond is the rate of the origin's link in bytes a second, 0 without limit.
	OriginPerSecond float64
	Engine          engine.Options
	// FencedPercent of the engines check fencing numbers.
	FencedPercent int
	MaxConcurrent int
	// SlowStartRequests is the setting of the side processes; 1 turns slow start off.
	SlowStartRequests int
	StartConcurrent   int
	MemoryLimit       int64
	// ShareChunks lets all VMs share the memory of equal chunks, for experiments with many VMs. Tests of
	// failures leave it out, for shared chunks would hide a corrupt one behind a good one.
	ShareChunks bool
	Topology    hub.Topology
	Picker      hub.Picker
	Journal     *journal.Journal
	QueueWait   time.Duration
	// Keys returns the TLS settings of a process; nil is for connections without TLS.
	Keys func(id, role string) settings.Tls
	// WrapWeights puts a server in front of the one that gives chunks at a VM.
	WrapWeights func(vm int, s message.DRPCWeightsServer) message.DRPCWeightsServer
}

// Vm is one VM with its upstream and its side process.
type Vm struct {
	Index    int
	Id       string
	Place    deployment.Place
	Group    string
	Node     *network.Node
	Engine   *engine.Server
	Service  *service.Server
	Side     *side.Side
	upstream *httpServer
	settings settings.Side
	extras   side.Overrides
}

// Harness is a running system with its stand-ins.
type Harness struct {
	options Options
	Store   *kv.Server
	Origin  *origin.Server
	VmList  *vmlist.Server
	Runs    *service.Runs
	Network *network.Network
	Vms     []*Vm
	Entries []*entry.Entry
	Ledger  *ledger.Ledger

	mu       sync.Mutex
	servers  []*httpServer
	pool     *replica.Pool
	storeURL string
	listURL  string
	origURL  string
}

type httpServer struct {
	http     *http.Server
	listener net.Listener
}

// Start starts the stand-ins, the entry processes and the VMs.
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
	for range o.OnceVms {
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
	h.origURL = "http://" + originServer.listener.Addr().String()
	h.Ledger = ledger.New(store.New(h.storeURL, nil))
	return nil
}

func (h *Harness) serve(handler http.Handler) (*httpServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a stand-in: %w", err)
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

func (h *Harness) common(id, role string, place deployment.Place) settings.Common {
	c := settings.DefaultSide().Common
	c.Id = id
	c.Deployment = h.options.Deployment.Name
	c.Domain = place.Domain
	c.Region = place.Region
	c.ControlListen = "127.0.0.1:0"
	if h.options.Keys != nil {
		c.Tls = h.options.Keys(id, role)
	}
	for _, e := range h.Entries {
		c.Peers = append(c.Peers, e.Address())
	}
	return c
}

func (h *Harness) startEntry(i int) error {
	place := h.place(i)
	s := settings.DefaultEntry()
	s.Common = h.common(fmt.Sprintf("entry-%d", i), hub.RoleEntry, place)
	s.Listen = "127.0.0.1:0"
	s.Store.Url = h.storeURL
	s.Weights.Urls = []string{h.origURL}
	s.VmList = settings.VmList{Url: h.listURL, Interval: settings.Duration(listInterval)}
	if h.options.QueueWait > 0 {
		s.Requests.QueueWait = settings.Duration(h.options.QueueWait)
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

// AddVm starts one more VM with an upstream of a group and its side process.
func (h *Harness) AddVm(group string) (*Vm, error) {
	o := &h.options
	i := len(h.Vms)
	vm := &Vm{Index: i, Id: fmt.Sprintf("%s-%03d", group, i), Place: h.place(i), Group: group}
	vm.Node = h.Network.NewNode(vm.Id, vm.Place.Domain, vm.Place.Region)
	s := settings.DefaultSide()
	s.Common = h.common(vm.Id, hub.RoleSide, vm.Place)
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
		s.Weights.Urls = []string{h.origURL}
		s.Weights.OriginPerSecond = settings.Bytes(o.OriginPerSecond)
		s.Weights.LinkPerSecond = settings.Bytes(o.Network.VmPerSecond)
		if o.MemoryLimit > 0 {
			s.Weights.MemoryLimit = settings.Bytes(o.MemoryLimit)
		}
	} else {
		vm.Service = service.New(h.Runs)
		handler = vm.Service
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
	vm.extras = h.extras(vm)
	h.Vms = append(h.Vms, vm)
	h.VmList.Put(hub.VM{Id: vm.Id})
	return vm, h.StartSide(vm)
}

func (h *Harness) extras(vm *Vm) side.Overrides {
	x := side.Overrides{
		Dial:     h.Network.Dialer(vm.Node),
		Listen:   h.Network.Listener(vm.Node),
		Pool:     h.pool,
		Topology: h.options.Topology,
	}
	if h.options.WrapWeights != nil {
		x.WrapWeights = func(s message.DRPCWeightsServer) message.DRPCWeightsServer {
			return h.options.WrapWeights(vm.Index, s)
		}
	}
	return x
}

// StartSide starts the side process of a VM, with empty memory.
func (h *Harness) StartSide(vm *Vm) error {
	s, err := side.Start(vm.settings, h.options.Journal, vm.extras)
	if err != nil {
		return err
	}
	vm.Side = s
	return nil
}

// KillVm ends a VM's side process and upstream at once.
func (h *Harness) KillVm(vm *Vm) {
	vm.Side.Kill()
	_ = vm.upstream.http.Close()
}

// Apply writes a rules text over the current one.
func (h *Harness) Apply(ctx context.Context, text string) error {
	_, revision, err := h.Ledger.Read(ctx)
	if err != nil {
		return err
	}
	edit := ledger.Edit{Text: text, Base: revision, Author: "harness", WriteId: fmt.Sprintf("harness-%d", revision)}
	_, _, err = h.Ledger.Apply(ctx, edit)
	return err
}

// ErrTimeout reports a condition that did not come about in time.
var ErrTimeout = errors.New("condition did not come about in time")

// Await waits until a condition holds.
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

// Serving counts the engine VMs that serve the weights with a root digest.
func (h *Harness) Serving(root string) int {
	n := 0
	for _, vm := range h.EngineVms() {
		if vm.Side != nil && vm.Side.Member().ServingRoot == root {
			n++
		}
	}
	return n
}

// Held counts the engine VMs that hold the whole weights with a root digest.
func (h *Harness) Held(root string) int {
	n := 0
	for _, vm := range h.EngineVms() {
		if m := vm.Side.Member(); m.HeldRoot == root || m.ServingRoot == root {
			n++
		}
	}
	return n
}

// Stop ends everything.
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
