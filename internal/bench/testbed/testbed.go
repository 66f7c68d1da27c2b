package testbed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/node"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/platform"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// initialVersion is the model version that engines hold at the start, except the last Options.Empty ones.
	initialVersion = 1
	// seedPeers is the number of entry processes in the list of initial peers of all processes.
	seedPeers = 3
	// stopTimeout is the time limit for a graceful stop of all processes. It is short because nothing
	// needs to wait until the load balancer has stopped sending requests to the entry processes.
	stopTimeout = 50 * time.Millisecond
	// bytesPerMegabit converts Mbit/s to bytes per second.
	bytesPerMegabit = 1e6 / 8
	// readyPollInterval is the interval between readiness checks of an entry process.
	readyPollInterval = 50 * time.Millisecond
)

var errNotReady = errors.New("not ready within the time limit")

// Options configure a Testbed.
type Options struct {
	// Places are the failure domains, to which processes are assigned round-robin.
	Places  []deployment.Place
	Entries int
	// Engines is the number of model engines. The last Empty of them hold no weights at the start.
	Engines int
	Empty   int
	// Plain is the number of upstreams of the plain service.
	Plain int
	Site  standin.SiteOptions
	// LinkBytesPerSecond is the bandwidth of each engine VM's link as set for its side process; 0 means no limit.
	LinkBytesPerSecond float64
	// Switch is the time limit for replacing older versions by the target version, passed to the settings.
	Switch  time.Duration
	Journal *journal.Journal
}

// Vm is a VM with a model engine and its side process.
type Vm struct {
	Id     string
	Place  deployment.Place
	Engine *standin.Engine
	Side   *node.Side
}

// Testbed is a running deployment with a stand-in for the platform.
type Testbed struct {
	Site    *standin.Site
	Entries []*node.Entry
	// Addresses are the addresses of the entry processes for requests and readiness checks.
	Addresses []standin.EntryAddress
	Vms       []*Vm
	// Ingress is the load balancer in front of the entry processes.
	Ingress *standin.Ingress

	options Options
	peers   []string
	// entrySettings are the settings of Entries.
	entrySettings []settings.Node
}

// Start starts a deployment, which runs until Stop.
func Start(o Options) (*Testbed, error) {
	b := &Testbed{options: o}
	err := b.start()
	if err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

func (b *Testbed) start() error {
	site, err := standin.NewSite(b.options.Site)
	if err != nil {
		return err
	}
	b.Site = site
	if err := b.startEntries(); err != nil {
		return err
	}
	for i := range b.options.Engines {
		if err := b.addVm(i); err != nil {
			return err
		}
	}
	for i := range b.options.Plain {
		if err := site.AddPlainUpstream(fmt.Sprintf("plain-%d", i), network.Loopback(), b.place(i).Domain); err != nil {
			return err
		}
	}
	b.Ingress, err = standin.NewIngress(b.Addresses)
	return err
}

func (b *Testbed) startEntries() error {
	ips := make([]string, b.options.Entries)
	for i := range ips {
		ips[i] = network.Loopback()
		if i < seedPeers {
			b.peers = append(b.peers, ips[i]+deployment.ControlPort)
		}
	}
	for i, ip := range ips {
		s := b.settings(fmt.Sprintf("entry-%d", i), ip, b.place(i))
		s.Listen, s.ReadyListen, s.ControlListen = ip+deployment.RequestPort, ip+deployment.ReadyPort, ip+deployment.ControlPort
		e, err := node.StartEntry(s, b.options.Journal, platform.Adapter())
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, e)
		b.entrySettings = append(b.entrySettings, s)
		b.Addresses = append(b.Addresses, standin.EntryAddress{Callers: s.Listen, Ready: s.ReadyListen})
	}
	return nil
}

// RestartEntry ends the entry process with the given index and starts it again with the same settings.
func (b *Testbed) RestartEntry(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	b.Entries[i].Stop(ctx)
	e, err := node.StartEntry(b.entrySettings[i], b.options.Journal, platform.Adapter())
	if err != nil {
		return err
	}
	b.Entries[i] = e
	return nil
}

func (b *Testbed) addVm(i int) error {
	ip := network.Loopback()
	vm := &Vm{Id: fmt.Sprintf("engine-%d", i), Place: b.place(i)}
	held := uint64(initialVersion)
	if i >= b.options.Engines-b.options.Empty {
		held = 0
	}
	engine, address, err := b.Site.AddEngine(vm.Id, ip, vm.Place.Domain, held)
	if err != nil {
		return err
	}
	vm.Engine = engine
	s := b.settings("side-"+vm.Id, ip, vm.Place)
	s.ControlListen, s.Upstream, s.Service = ip+deployment.SharedPort, address, standin.Service
	s.LinkMegabits = b.options.LinkBytesPerSecond / bytesPerMegabit
	if vm.Side, err = node.StartSide(s, b.options.Journal, platform.Adapter()); err != nil {
		return err
	}
	b.Vms = append(b.Vms, vm)
	return nil
}

func (b *Testbed) place(i int) deployment.Place { return b.options.Places[i%len(b.options.Places)] }

func (b *Testbed) settings(id, ip string, place deployment.Place) settings.Node {
	s := settings.DefaultNode()
	s.Id, s.Domain, s.Region = id, place.Domain, place.Region
	for _, p := range b.options.Places {
		s.Regions = append(s.Regions, settings.DomainRegion{Domain: p.Domain, Region: p.Region})
	}
	s.ReportListen, s.AdminListen = ip+deployment.SharedPort, ip+":0"
	s.Store = b.Site.StoreAddress
	s.Peers = b.peers
	s.Bounds.Switch = settings.Duration(b.options.Switch)
	return s
}

// AwaitServing waits until every entry process reports that it is ready, or returns an error after limit.
func (b *Testbed) AwaitServing(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errNotReady)
	defer cancel()
	for _, a := range b.Addresses {
		for !isReady(ctx, a.Ready) {
			if hub.Sleep(ctx, readyPollInterval) != nil {
				return fmt.Errorf("entry process %s: %w", a.Callers, context.Cause(ctx))
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Held returns the number of engines that hold the given version.
func (b *Testbed) Held(version uint64) int {
	n := 0
	for _, vm := range b.Vms {
		if vm.Engine.Held() == version {
			n++
		}
	}
	return n
}

// Stop closes the load balancer, stops all processes concurrently and then closes the platform's stand-in.
func (b *Testbed) Stop() {
	if b.Ingress != nil {
		b.Ingress.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, vm := range b.Vms {
		running.Go(func() { vm.Side.Stop(ctx) })
	}
	for _, e := range b.Entries {
		running.Go(func() { e.Stop(ctx) })
	}
	running.Wait()
	if b.Site != nil {
		b.Site.Close()
	}
}
