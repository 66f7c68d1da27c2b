package node

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"storj.io/drpc/drpcmux"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/admin"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/process/presence"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/exchange"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/internal/wire/link"
	"github.com/oriolehub/oriolehub/internal/wire/message"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const (
	// exchangeInterval is the time between two exchanges with a neighbour while nothing changes.
	exchangeInterval = time.Second
	// seedInterval is the time between two exchanges with a random process of the list: after a restart of all,
	// groups that know only each other must find the rest before they deal duties.
	seedInterval = 700 * time.Millisecond
	// forgetInterval is the time between two looks for members to forget, forgetAfter the age of these.
	forgetInterval = 5 * time.Second
	forgetAfter    = 30 * time.Second
	// peerDialTimeout bounds the opening of a connection to another process or to the platform.
	peerDialTimeout = 500 * time.Millisecond
	// seedShare is the number of entry processes that are assumed for each seed until they are known.
	seedShare = 2
	// memoryPart is the part of the memory limit at which the garbage collector works harder.
	memoryPart = 0.6
	// entryGarbagePercent and sideGarbagePercent are the growth of the heap between two collections: there are many
	// side processes, and they make little garbage.
	entryGarbagePercent = 200
	sideGarbagePercent  = 50
)

// Platform makes the parts that translate between the platform and the product.
type Platform struct {
	Decoder hub.StateDecoder
	Format  hub.CallFormat
	Store   func(address string, dial socket.DialFunc) hub.StateSource
	Engine  func(address string, dial socket.DialFunc) hub.LocalUpstream
	Source  func(o *hub.Origin, e *hub.EngineModel, dial socket.DialFunc) hub.WeightSource
}

// node is what both roles share.
type node struct {
	// settings are those of the start.
	settings settings.Node
	// bounds and peers may change while the process runs.
	bounds   atomic.Pointer[settings.NodeBounds]
	peers    atomic.Pointer[[]string]
	platform Platform
	journal  *journal.Journal
	role     string
	// incarnation is the start of the process in Unix milliseconds.
	incarnation uint64

	dial      socket.DialFunc
	catalog   *catalog.Catalog
	directory *directory.Directory
	mirror    *mirror.Mirror
	presence  *presence.Presence
	link      *link.Client
	exchange  *exchange.Client
	reports   *net.UDPConn
	server    *link.Server
	admin     *admin.Server
	metrics   *metrics.Set

	cancel  context.CancelFunc
	running sync.WaitGroup
	leaving atomic.Bool
}

func newNode(s settings.Node, role string, j *journal.Journal, p Platform, record func() hub.Member) *node {
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMegabytes) * (1 << 20)))
	}
	if role == hub.RoleSide {
		debug.SetGCPercent(sideGarbagePercent)
	} else {
		debug.SetGCPercent(entryGarbagePercent)
	}
	n := &node{
		settings:    s,
		platform:    p,
		journal:     j,
		role:        role,
		incarnation: uint64(time.Now().UnixMilli()),
		dial:        socket.Dialer(peerDialTimeout),
		metrics:     metrics.NewSet(),
	}
	n.Reload(s)
	state := j.Logger(journal.State)
	n.catalog = catalog.New(n.incarnation)
	n.directory = directory.New(directory.Options{
		Catalog: n.catalog, Decoder: p.Decoder, Regions: regionsOf(&s),
		InitialTargetAge: max(0, s.Bounds.Switch.Std()-s.Bounds.StartGrace.Std()), Log: state,
	})
	n.mirror = mirror.New(mirror.Options{Source: p.Store(s.Store, n.dial), Decoder: p.Decoder, Catalog: n.catalog, Log: state})
	n.presence = presence.New(n.catalog, record)
	n.link = link.NewClient(link.DialFunc(n.dial))
	n.exchange = exchange.NewClient(exchange.Options{
		Self: s.Id, Catalog: n.catalog, Link: n.link, Interval: exchangeInterval, MoreSeeds: n.knownPeers,
		SeedInterval: seedInterval, Log: state,
	})
	return n
}

func regionsOf(s *settings.Node) map[string]string {
	out := map[string]string{s.Domain: s.Region}
	for _, r := range s.Regions {
		out[r.Domain] = r.Region
	}
	return out
}

// listen opens the listeners that both roles have; weights may be nil.
func (n *node) listen(weights message.DRPCWeightsServer, record func() hub.Member, ready func() error) error {
	s := &n.settings
	control, err := net.Listen("tcp", s.ControlListen)
	if err != nil {
		return fmt.Errorf("control listener: %w", err)
	}
	reports, err := net.ResolveUDPAddr("udp", s.ReportListen)
	if err != nil {
		return fmt.Errorf("report listener: %w", err)
	}
	if n.reports, err = net.ListenUDP("udp", reports); err != nil {
		return fmt.Errorf("report listener: %w", err)
	}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return fmt.Errorf("admin listener: %w", err)
	}
	mux := drpcmux.New()
	if err := message.DRPCRegisterPeer(mux, exchange.NewServer(n.catalog, record)); err != nil {
		return fmt.Errorf("register exchange: %w", err)
	}
	if weights != nil {
		if err := message.DRPCRegisterWeights(mux, weights); err != nil {
			return fmt.Errorf("register weights: %w", err)
		}
	}
	n.server = link.Serve(control, mux, func(err error) {
		n.journal.Logger(journal.Process).Debug().Err(err).Msg("connection ended")
	})
	n.admin = admin.Start(adminListener, n.metrics, ready)
	n.metrics.NewGauge("oriolehub_log_lines_dropped", func() float64 { return float64(n.journal.Dropped()) })
	n.metrics.NewGauge("oriolehub_configuration_revision", func() float64 { return float64(n.directory.Current().Revision) })
	n.metrics.NewGauge("oriolehub_store_reachable", func() float64 {
		if n.mirror.Reachable() {
			return 1
		}
		return 0
	})
	return nil
}

// run starts what both roles do until ctx ends.
func (n *node) run(ctx context.Context) {
	n.presence.Publish()
	n.running.Go(func() { n.directory.Run(ctx) })
	n.running.Go(func() { n.presence.Run(ctx) })
	n.running.Go(func() { n.exchange.Run(ctx) })
	n.running.Go(func() { n.forget(ctx) })
}

func (n *node) forget(ctx context.Context) {
	for hub.Sleep(ctx, forgetInterval) == nil {
		n.catalog.Forget(forgetAfter)
	}
}

// member returns the record of the process in a state.
func (n *node) member(state string) hub.Member {
	s := &n.settings
	return hub.Member{
		Id:           s.Id,
		Role:         n.role,
		Address:      s.ControlListen,
		AdminAddress: s.AdminListen,
		Group:        s.Service,
		Domain:       s.Domain,
		Region:       s.Region,
		Incarnation:  n.incarnation,
		State:        state,
	}
}

// Reload puts the bounds and the peers of changed settings in force and returns the other keys that differ, which
// take effect at the next start.
func (n *node) Reload(s settings.Node) []string {
	n.bounds.Store(&s.Bounds)
	n.peers.Store(&s.Peers)
	same := n.settings
	same.Bounds, same.Peers = s.Bounds, s.Peers
	return settings.Differing(same, s)
}

// ConfigurationRevision returns the revision of the desired state in force, 0 for none.
func (n *node) ConfigurationRevision() uint64 { return n.directory.Current().Revision }

// switchBound returns the time within which a named version replaces older ones.
func (n *node) switchBound() time.Duration { return n.bounds.Load().Switch.Std() }

// knownPeers returns the control addresses that may be asked for news: those of the settings and of the list.
func (n *node) knownPeers() []string { return append(n.listedPeers(), *n.peers.Load()...) }

// listedPeers returns the control addresses of the side processes beside the listed engines: they listen at the
// VM's address and the port that is the same on all VMs.
func (n *node) listedPeers() []string {
	_, port, err := net.SplitHostPort(n.settings.ReportListen)
	if err != nil {
		return nil
	}
	var out []string
	for _, service := range n.directory.Current().Services() {
		if service.Engine == nil {
			continue
		}
		for _, u := range service.Upstreams {
			if address := u.SideAddress(port); address != "" {
				out = append(out, address)
			}
		}
	}
	return out
}

// entries returns the living entry processes.
func (n *node) entries() []hub.Member {
	var out []hub.Member
	for _, m := range n.catalog.Members() {
		if m.Role == hub.RoleEntry && m.Alive() {
			out = append(out, m.Member)
		}
	}
	return out
}

// sharers returns the number of entry processes among which shared allowances are divided: all that were
// heard of lately, for one that can't be reached may live, and no fewer than seedShare for each seed, for a
// process that has just started knows nobody.
func (n *node) sharers() int {
	known := 0
	for _, m := range n.catalog.Members() {
		if m.Role == hub.RoleEntry {
			known++
		}
	}
	return max(known, seedShare*len(*n.peers.Load()))
}

// reportAddresses returns where the entry processes receive reports.
func (n *node) reportAddresses() []*net.UDPAddr {
	_, portText, err := net.SplitHostPort(n.settings.ReportListen)
	if err != nil {
		return nil
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil
	}
	var out []*net.UDPAddr
	for _, m := range n.entries() {
		host, _, err := net.SplitHostPort(m.Address)
		if err == nil {
			out = append(out, &net.UDPAddr{IP: net.ParseIP(host), Port: port})
		}
	}
	return out
}

// leave tells the others that the process stops.
func (n *node) leave(ctx context.Context) {
	n.leaving.Store(true)
	n.presence.Publish()
	n.exchange.Round(ctx)
}

// end stops everything that runs.
func (n *node) end(ctx context.Context) {
	n.cancel()
	n.server.Close()
	n.admin.Close(ctx)
	_ = n.reports.Close()
	n.running.Wait()
	_ = n.link.Close()
}
