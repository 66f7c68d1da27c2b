package testbed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/node"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/platform"
	"github.com/oriolehub/oriolehub/platform/standin"
)

// Ports of the processes, below those that the system hands out, so that no connection of another program has them.
const (
	callersPort = ":7101"
	readyPort   = ":7102"
	controlPort = ":7103"
	sharedPort  = ":7104"
)

const (
	// firstVersion is what engines hold that are there at the start.
	firstVersion = 1
	// seeds is the number of entry processes that the others are told of.
	seeds = 3
	// stopTime is the time that stopping processes have; none waits for the balancer.
	stopTime = 50 * time.Millisecond
	// bytesPerMegabit turns Mbit/s into bytes a second.
	bytesPerMegabit = 1e6 / 8
	// readyPoll is the time between two questions whether an entry process is ready.
	readyPoll = 50 * time.Millisecond
)

var errNotReady = errors.New("entry process is not ready in time")

// Options shape a testbed.
type Options struct {
	// Places are the failure domains, over which processes are dealt in turn.
	Places  []deployment.Place
	Entries int
	// Engines is the number of model engines, of which the last Empty hold no weights at the start.
	Engines int
	Empty   int
	// Plain is the number of upstreams of the plain service.
	Plain int
	Site  standin.SiteOptions
	// LinkBytesPerSecond is the rate of each VM's link, 0 without limit.
	LinkBytesPerSecond float64
	// Switch is the time within which a named version replaces older ones.
	Switch  time.Duration
	Journal *journal.Journal
}

// Vm is a model engine with the side process beside it.
type Vm struct {
	Id     string
	Place  deployment.Place
	Engine *standin.Engine
	Side   *node.Side
}

// Testbed is a running deployment.
type Testbed struct {
	Site    *standin.Site
	Entries []*node.Entry
	// Addresses are where the entry processes answer.
	Addresses []standin.EntryAddress
	Vms       []*Vm
	Ingress   *standin.Ingress

	options Options
	peers   []string
}

var addresses atomic.Uint32

// loopback returns a loopback address that no other process of this or another program uses.
func loopback() string {
	pid, n := os.Getpid(), addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8+int(n)/250)&0x7f, pid&0xff, 1+n%250)
}

// Start runs a deployment until Stop.
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
		if err := site.AddPlainUpstream(fmt.Sprintf("plain-%d", i), loopback(), b.place(i).Domain); err != nil {
			return err
		}
	}
	b.Ingress, err = standin.NewIngress(b.Addresses)
	return err
}

func (b *Testbed) startEntries() error {
	ips := make([]string, b.options.Entries)
	for i := range ips {
		ips[i] = loopback()
		if i < seeds {
			b.peers = append(b.peers, ips[i]+controlPort)
		}
	}
	for i, ip := range ips {
		s := b.settings(fmt.Sprintf("entry-%d", i), ip, b.place(i))
		s.Listen, s.ReadyListen, s.ControlListen = ip+callersPort, ip+readyPort, ip+controlPort
		e, err := node.StartEntry(s, b.options.Journal, platform.Adapter())
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, e)
		b.Addresses = append(b.Addresses, standin.EntryAddress{Callers: s.Listen, Ready: s.ReadyListen})
	}
	return nil
}

func (b *Testbed) addVm(i int) error {
	ip := loopback()
	vm := &Vm{Id: fmt.Sprintf("engine-%d", i), Place: b.place(i)}
	held := uint64(firstVersion)
	if i >= b.options.Engines-b.options.Empty {
		held = 0
	}
	engine, address, err := b.Site.AddEngine(vm.Id, ip, vm.Place.Domain, held)
	if err != nil {
		return err
	}
	vm.Engine = engine
	s := b.settings("side-"+vm.Id, ip, vm.Place)
	s.ControlListen, s.Upstream, s.Service = ip+sharedPort, address, standin.Service
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
	s.ReportListen, s.AdminListen = ip+sharedPort, ip+":0"
	s.Store = b.Site.StoreAddress
	s.Peers = b.peers
	s.Bounds.Switch = settings.Duration(b.options.Switch)
	return s
}

// AwaitServing waits until every entry process says that it is ready.
func (b *Testbed) AwaitServing(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errNotReady)
	defer cancel()
	for _, a := range b.Addresses {
		for !isReady(ctx, a.Ready) {
			if hub.Sleep(ctx, readyPoll) != nil {
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

// Held returns the number of engines that hold a version.
func (b *Testbed) Held(version uint64) int {
	n := 0
	for _, vm := range b.Vms {
		if vm.Engine.Held() == version {
			n++
		}
	}
	return n
}

// Stop ends everything, the processes all at once.
func (b *Testbed) Stop() {
	if b.Ingress != nil {
		b.Ingress.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
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
