package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Options configure a Network.
type Options struct {
	// VmPerSecond is the bandwidth of each VM's link in bytes per second, in each direction; 0 means no limit.
	VmPerSecond float64
	// RegionPerSecond is the bandwidth of the link between two regions in bytes per second, in each direction; 0 means
	// no limit.
	RegionPerSecond float64
	// DomainDelay and RegionDelay are the round-trip times between failure domains of a region and between regions.
	DomainDelay time.Duration
	RegionDelay time.Duration
}

// Node is a VM or an entry process on the network.
type Node struct {
	Id     string
	Domain string
	Region string
	up     *Bucket
	down   *Bucket
}

// Sent returns the number of bytes that the node has sent.
func (n *Node) Sent() int64 { return n.up.Passed() }

// Network connects nodes over loopback.
type Network struct {
	options Options

	mu sync.Mutex
	// byAddr maps the listen addresses to their nodes.
	byAddr map[string]*Node
	// links holds the links between regions by source and destination.
	links map[[2]string]*Bucket
	// conns holds the open connections at their dialing ends.
	conns map[*conn]struct{}
	// cutPairs holds the pairs of regions, in the order of pairOf, that are partitioned by Cut.
	cutPairs map[[2]string]bool
}

// New returns a network without nodes or connections.
func New(o Options) *Network {
	return &Network{
		options:  o,
		byAddr:   map[string]*Node{},
		links:    map[[2]string]*Bucket{},
		conns:    map[*conn]struct{}{},
		cutPairs: map[[2]string]bool{},
	}
}

// NewNode returns a new node. It is reachable by other nodes at the addresses on which its Listener listens.
func (nw *Network) NewNode(id, domain, region string) *Node {
	return &Node{Id: id, Domain: domain, Region: region, up: NewBucket(nw.options.VmPerSecond), down: NewBucket(nw.options.VmPerSecond)}
}

// Link returns the link from one region to another and creates it if necessary.
func (nw *Network) Link(from, to string) *Bucket {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	key := [2]string{from, to}
	if nw.links[key] == nil {
		nw.links[key] = NewBucket(nw.options.RegionPerSecond)
	}
	return nw.links[key]
}

// Links returns the number of bytes that have passed each link between regions, by source and destination region.
func (nw *Network) Links() map[[2]string]int64 {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	out := map[[2]string]int64{}
	for key, b := range nw.links {
		out[key] = b.Passed()
	}
	return out
}

// Listener returns a function that listens on an address for connections to the node.
func (nw *Network) Listener(n *Node) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		nw.mu.Lock()
		defer nw.mu.Unlock()
		nw.byAddr[l.Addr().String()] = n
		return &listener{Listener: l, network: nw, node: n}, nil
	}
}

// Dialer returns a function that dials an address from the node. Dialing a node behind a cut blocks until the
// context is done.
func (nw *Network) Dialer(n *Node) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		nw.mu.Lock()
		peer := nw.byAddr[address]
		cut := peer != nil && nw.isCut(n.Region, peer.Region)
		nw.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		c := &conn{Conn: raw, network: nw, node: n, peer: peer, closed: make(chan struct{})}
		if peer != nil && peer.Region != n.Region {
			c.out = nw.Link(n.Region, peer.Region)
			c.in = nw.Link(peer.Region, n.Region)
		}
		c.delay = nw.delay(n, peer)
		nw.track(c)
		return c, nil
	}
}

func (nw *Network) delay(a, b *Node) time.Duration {
	switch {
	case b == nil || a.Domain == b.Domain:
		return 0
	case a.Region == b.Region:
		return nw.options.DomainDelay
	default:
		return nw.options.RegionDelay
	}
}

func (nw *Network) track(c *conn) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.conns[c] = struct{}{}
}

func (nw *Network) untrack(c *conn) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.conns, c)
}

// Silence makes the open connections of a node drop all traffic for good, without closing them, or all open
// connections if n is nil. It returns their number. New connections work.
func (nw *Network) Silence(n *Node) int {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	silenced := 0
	for c := range nw.conns {
		if n == nil || c.node == n || c.peer == n {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced
}

// Cut partitions two regions: open connections between them drop all traffic for good, and new ones cannot be
// opened until Heal.
func (nw *Network) Cut(a, b string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cutPairs[pairOf(a, b)] = true
	for c := range nw.conns {
		if c.peer != nil && pairOf(c.node.Region, c.peer.Region) == pairOf(a, b) {
			c.silent.Store(true)
		}
	}
}

// Heal ends the partition of two regions, so that new connections between them can be opened.
func (nw *Network) Heal(a, b string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.cutPairs, pairOf(a, b))
}

func (nw *Network) isCut(a, b string) bool { return nw.cutPairs[pairOf(a, b)] }

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
