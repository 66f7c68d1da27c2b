package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// connection is a forwarded connection.
type connection struct {
	proxy          *Proxy
	caller, target net.Conn

	endOnce, silenceOnce sync.Once
	// ended is closed with the connection, silent when it forwards no further bytes.
	ended, silent chan struct{}

	mu sync.Mutex
	// response holds the bytes from the target since the last ones from the caller.
	response []byte
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (c *connection) reset() {
	c.endOnce.Do(func() {
		resetConn(c.caller)
		resetConn(c.target)
		close(c.ended)
	})
}

func (c *connection) end() {
	c.endOnce.Do(func() {
		_ = c.caller.Close()
		_ = c.target.Close()
		close(c.ended)
	})
}

func (c *connection) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

// copy forwards bytes from src to dst until the connection ends; cut is the mode that holds them back. Bytes that are held
// back are lost when src resets the connection.
func (c *connection) copy(dst, src net.Conn, cut Mode) {
	q := newQueue(c.ended)
	go c.read(src, q)
	for data := range q.chunks {
		if !c.pass(dst, data, cut) {
			return
		}
		q.remove(data)
	}
	c.end()
}

// read reads from src until that closes the connection, or ends all if it resets it.
func (c *connection) read(src net.Conn, q *queue) {
	defer close(q.chunks)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !q.add(buffer[:n]) {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			c.reset()
		}
		if err != nil {
			return
		}
	}
}

// pass writes data to dst in the manner of the proxy's mode. It returns false once the connection has ended.
func (c *connection) pass(dst net.Conn, chunk heldChunk, cut Mode) bool {
	mode, ok := c.awaitPassage(cut)
	if !ok {
		return false
	}
	switch mode {
	case Delay:
		if !c.sleep(chunkDelay) {
			return false
		}
	case Drip:
		return c.drip(dst, chunk.data)
	}
	return c.carry(dst, chunk, mode)
}

// carry writes a chunk to dst as the capacity of the proxy allows. It returns false once the connection has ended.
func (c *connection) carry(dst net.Conn, chunk heldChunk, mode Mode) bool {
	data, toTarget := chunk.data, dst == c.target
	if !c.awaitDelay(chunk.readAt, toTarget) {
		return false
	}
	if toTarget {
		c.beginRequest(mode == Repeat)
	} else {
		c.keep(data)
	}
	return c.writeAtRate(dst, data, toTarget)
}

// awaitPassage waits while the mode holds back the bytes and returns the mode, or false once the connection has ended.
func (c *connection) awaitPassage(cut Mode) (Mode, bool) {
	for {
		mode, changed := c.proxy.current()
		select {
		case <-c.silent:
			changed = nil
		default:
			if mode != cut && mode != Cut {
				return mode, true
			}
		}
		select {
		case <-changed:
		case <-c.ended:
			return mode, false
		}
	}
}

// sleep waits for d and returns false if the connection ends meanwhile.
func (c *connection) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ended:
		return false
	}
}

func (c *connection) drip(dst net.Conn, data []byte) bool {
	for i := range data {
		if mode, _ := c.proxy.current(); mode != Drip {
			_, err := dst.Write(data[i:])
			return err == nil
		}
		if !c.sleep(dripInterval) {
			return false
		}
		if _, err := dst.Write(data[i : i+1]); err != nil {
			return false
		}
	}
	return true
}

// beginRequest forgets the last response; if repeated, it is sent to the caller once more before.
func (c *connection) beginRequest(repeated bool) {
	c.mu.Lock()
	response := c.response
	c.response = nil
	c.mu.Unlock()
	if repeated && len(response) > 0 {
		_, _ = c.caller.Write(response)
	}
}

// keep keeps a part of the response in progress.
func (c *connection) keep(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.response)+len(data) <= maxRepeatedBytes {
		c.response = append(c.response, data...)
	}
}
