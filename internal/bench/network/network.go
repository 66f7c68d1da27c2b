package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Options are the rates and delays of a network.
type Options struct {
	// VmPerSecond is the rate of each VM's link, both ways, in bytes a second; 0 is without limit.
	VmPerSecond float64
	// RegionPerSecond is the rate of the link between two regions, each way, in bytes a second.
	RegionPerSecond float64
	// DomainDelay and RegionDelay are round-trip times between failure domains and between regions.
	DomainDelay time.Duration
	RegionDelay time.Duration
}

// Node is one VM on the network.
type Node struct {
	Id     string
	Domain string
	Region string
	up     *Bucket
	down   *Bucket
}

// Sent returns the bytes that the node has sent.
func (n *Node) Sent() int64 { return n.up.Passed() }

// Network connects nodes over loopback.
type Network struct {
	options Options

	mu      sync.Mutex
	byAddr  map[string]*Node
	links   map[[2]string]*Bucket
	conns   map[*conn]struct{}
	cutPair map[[2]string]bool
}

// New returns a network without nodes.
func New(o Options) *Network {
	return &Network{
		options: o,
		byAddr:  map[string]*Node{},
		links:   map[[2]string]*Bucket{},
		conns:   map[*conn]struct{}{},
		cutPair: map[[2]string]bool{},
	}
}

// NewNode returns a node; its addresses become known as it listens.
func (w *Network) NewNode(id, domain, region string) *Node {
	return &Node{Id: id, Domain: domain, Region: region, up: NewBucket(w.options.VmPerSecond), down: NewBucket(w.options.VmPerSecond)}
}

// Link returns the link from one region to another.
func (w *Network) Link(from, to string) *Bucket {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := [2]string{from, to}
	if w.links[key] == nil {
		w.links[key] = NewBucket(w.options.RegionPerSecond)
	}
	return w.links[key]
}

// Links returns the bytes that have passed each link between regions.
func (w *Network) Links() map[[2]string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[[2]string]int64{}
	for key, b := range w.links {
		out[key] = b.Passed()
	}
	return out
}

// Listener returns a function that opens listeners of a node.
func (w *Network) Listener(n *Node) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.byAddr[l.Addr().String()] = n
		return &listener{Listener: l, network: w, node: n}, nil
	}
}

// Dialer returns a function that opens connections from a node.
func (w *Network) Dialer(n *Node) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		w.mu.Lock()
		peer := w.byAddr[address]
		cut := peer != nil && w.isCut(n.Region, peer.Region)
		w.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		}
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		c := &conn{Conn: raw, network: w, node: n, peer: peer, closed: make(chan struct{})}
		if peer != nil && peer.Region != n.Region {
			c.out = w.Link(n.Region, peer.Region)
			c.in = w.Link(peer.Region, n.Region)
		}
		c.delay = w.delay(n, peer)
		w.track(c)
		return c, nil
	}
}

func (w *Network) delay(a, b *Node) time.Duration {
	switch {
	case b == nil || a.Domain == b.Domain:
		return 0
	case a.Region == b.Region:
		return w.options.DomainDelay
	default:
		return w.options.RegionDelay
	}
}

func (w *Network) track(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
}

func (w *Network) untrack(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// Silence makes the open connections of a node silent for good, while new ones work; all of them for nil.
func (w *Network) Silence(n *Node) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	silenced := 0
	for c := range w.conns {
		if n == nil || c.node == n || c.peer == n {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced
}

// Cut separates two regions: open connections between them become silent and new ones can't be opened.
func (w *Network) Cut(a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutPair[pairOf(a, b)] = true
	for c := range w.conns {
		if c.peer != nil && pairOf(c.node.Region, c.peer.Region) == pairOf(a, b) {
			c.silent.Store(true)
		}
	}
}

// Heal lets two regions open connections to each other again.
func (w *Network) Heal(a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cutPair, pairOf(a, b))
}

func (w *Network) isCut(a, b string) bool { return w.cutPair[pairOf(a, b)] }

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
