package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is how a Proxy treats the bytes of its connections.
type Mode int

// Modes of a Proxy.
const (
	// Pass forwards bytes at once.
	Pass Mode = iota
	// Delay forwards bytes after chunkDelay.
	Delay
	// Drip forwards one byte every dripInterval.
	Drip
	// CutToTarget and CutFromTarget hold back the bytes in one direction.
	CutToTarget
	CutFromTarget
	// Cut holds back the bytes in both directions.
	Cut
	// Refuse resets new connections.
	Refuse
	// Repeat sends the last response on a connection once more when the next request on it begins.
	Repeat
)

const (
	chunkDelay   = 250 * time.Millisecond
	dripInterval = 15 * time.Millisecond
	chunkBytes   = 16 << 10
	// maxHeldBytes limits the bytes of a direction of a connection that are read before they are written. A link that holds as
	// many blocks its sender.
	maxHeldBytes = 64 << 10
	// maxHeldChunks limits the chunks that these bytes came in.
	maxHeldChunks = 1 << 10
	// maxRepeatedBytes limits the responses that are kept to be repeated.
	maxRepeatedBytes = 16 << 10
	// dialTimeout exceeds the time after which the kernel repeats a lost connection request, one second.
	dialTimeout = 3 * time.Second
)

// Proxy forwards the connections that it accepts to one address. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	mode     Mode
	capacity Capacity
	// changed is closed when mode or capacity changes.
	changed chan struct{}
	open    map[*connection]struct{}
	closed  bool
}

// Listen starts a proxy on an address that forwards to target.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open proxy listener: %w", err)
	}
	p := &Proxy{target: target, listener: listener, changed: make(chan struct{}), open: map[*connection]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode of all connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetCapacity changes what all connections can carry, in any mode but Drip.
func (p *Proxy) SetCapacity(c Capacity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity = c
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	for _, c := range p.connections() {
		c.reset()
	}
}

// Silence makes the open connections forward no further bytes, while new ones work.
func (p *Proxy) Silence() {
	for _, c := range p.connections() {
		c.silence()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}

func (p *Proxy) connections() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*connection
	for c := range p.open {
		out = append(out, c)
	}
	return out
}

// current returns the mode and the channel that is closed when it changes.
func (p *Proxy) current() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// flow returns what the connections carry in one direction, and the channel that is closed when it changes.
func (p *Proxy) flow(toTarget bool) (Flow, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toTarget {
		return p.capacity.ToTarget, p.changed
	}
	return p.capacity.FromTarget, p.changed
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.current(); mode == Refuse {
			resetConn(caller)
			continue
		}
		go p.forward(caller)
	}
}

// forward connects a caller to the target until one of them closes the connection.
func (p *Proxy) forward(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		resetConn(caller)
		return
	}
	c := &connection{proxy: p, caller: caller, target: target, ended: make(chan struct{}), silent: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.remove(c)
	go c.copy(caller, target, CutFromTarget)
	c.copy(target, caller, CutToTarget)
	<-c.ended
}

func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.open[c] = struct{}{}
	}
	return !p.closed
}

func (p *Proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}
