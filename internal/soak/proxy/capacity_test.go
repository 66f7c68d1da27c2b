package proxy

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withTestPair returns a proxy with the two ends of a connection through it: that of the caller and that of the target.
func withTestPair(t *testing.T) (p *Proxy, caller, target net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p, err = Listen("127.0.0.1:0", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	caller, err = net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	target, err = l.Accept()
	assert.NilError(t, err)
	for _, c := range []net.Conn{caller, target} {
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(testLimit)))
	}
	return p, caller, target
}

// Bytes of a long way are late, but not later the more of them there are.
func TestDelayedBytesKeepTheirDistance(t *testing.T) {
	const (
		delay = 300 * time.Millisecond
		gap   = 2 * time.Millisecond
		parts = 100
	)
	p, caller, target := withTestPair(t)
	p.SetCapacity(Capacity{FromTarget: Flow{Delay: delay}})
	began := time.Now()
	for range parts {
		_, err := target.Write([]byte("x"))
		assert.NilError(t, err)
		time.Sleep(gap)
	}
	sent := time.Now()
	_, err := io.ReadFull(caller, make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= delay)
	_, err = io.ReadFull(caller, make([]byte, parts-1))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(sent) < 2*delay, "the last part came %s after it was sent", time.Since(sent))
}

func TestOtherDirectionIsNotDelayed(t *testing.T) {
	const delay = 3 * time.Second
	p, caller, target := withTestPair(t)
	p.SetCapacity(Capacity{FromTarget: Flow{Delay: delay}})
	began := time.Now()
	_, err := caller.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(target, make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < delay)
}

// A full link must block its sender, and lose nothing.
func TestFullLinkBlocksItsSender(t *testing.T) {
	const size = 32 << 20
	p, caller, target := withTestPair(t)
	p.SetCapacity(Capacity{FromTarget: Flow{BytesPerSecond: 200 << 10}})
	want := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	var sent atomic.Bool
	go func() {
		_, _ = target.Write(want)
		sent.Store(true)
		_ = target.Close()
	}()
	began := time.Now()
	got := make([]byte, size)
	_, err := io.ReadFull(caller, got[:100<<10])
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) > 400*time.Millisecond, "100 KiB at 200 KiB/s came after %s", time.Since(began))
	assert.Assert(t, !sent.Load(), "the sender was not blocked")
	p.SetCapacity(Capacity{})
	_, err = io.ReadFull(caller, got[100<<10:])
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want))
}

// A link that stalls goes on where it was.
func TestStalledLinkGoesOn(t *testing.T) {
	p, caller, target := withTestPair(t)
	p.Set(Cut)
	_, err := target.Write([]byte("held"))
	assert.NilError(t, err)
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = caller.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "bytes came through a stalled link")
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(testLimit)))
	p.Set(Pass)
	got := make([]byte, 4)
	_, err = io.ReadFull(caller, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "held")
}
