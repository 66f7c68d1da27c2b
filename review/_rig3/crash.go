package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

// crashMark in the body of a request makes the upstream that gets it crash.
const crashMark = "this-crashes-the-worker"

// idPattern matches the IDs of the requests that this rig sends.
var idPattern = regexp.MustCompile(`\b(sound|deadly)-[0-9]+\b`)

// crashProxy stands in front of an upstream. It plays the crash of the upstream when a request with crashMark has come in whole: its
// connections are reset and its port is closed.
type crashProxy struct {
	address string
	target  string
	// crashed is called at each crash with the ID of the request that was the cause.
	crashed func(id string)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func listenCrash(address, target string) (*crashProxy, error) {
	p := &crashProxy{address: address, target: target, conns: map[net.Conn]bool{}}
	return p, p.listen()
}

// listen accepts connections, again after a crash.
func (p *crashProxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

func (p *crashProxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *crashProxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *crashProxy) serve(c net.Conn) {
	if !p.add(c) {
		_ = c.Close()
		return
	}
	defer p.remove(c)
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	if !p.add(up) {
		_ = up.Close()
		return
	}
	defer p.remove(up)
	go func() {
		_, _ = io.Copy(c, up)
		p.remove(c)
	}()
	var seen []byte
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		// A request of this rig and its mark come in one read or two.
		seen = append(seen, buffer[:n]...)
		if len(seen) > 64<<10 {
			seen = bytes.Clone(seen[len(seen)-(32<<10):])
		}
		if at := bytes.Index(seen, []byte(crashMark)); at >= 0 {
			ids := idPattern.FindAll(seen[:at], -1)
			id := ""
			if len(ids) > 0 {
				id = string(ids[len(ids)-1])
			}
			p.crash(id)
			return
		}
		if _, err := up.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// crash resets all connections and closes the port.
func (p *crashProxy) crash(id string) {
	p.mu.Lock()
	l := p.listener
	if l == nil {
		p.mu.Unlock()
		return
	}
	p.listener = nil
	_ = l.Close()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	p.crashed(id)
}

func (p *crashProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *crashProxy) String() string { return fmt.Sprintf("%s -> %s", p.address, p.target) }
