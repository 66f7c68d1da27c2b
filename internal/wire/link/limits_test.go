package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// testBytes is the memory for messages in the tests.
const testBytes = 300 << 10

// pipeListener accepts connections in memory, which package synctest can wait for.
type pipeListener struct {
	accept chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testPeer is a connection of another process with the end of this process, which reads all that arrives.
type testPeer struct {
	net.Conn
	accepted *conn
	failed   chan error
}

// connect returns a function that opens connections to a limiter.
func connect(t *testing.T) (*limiter, func() *testPeer) {
	t.Helper()
	inner := &pipeListener{accept: make(chan net.Conn, 1), closed: make(chan struct{})}
	wrapped, err := Limit(inner, Limits{Connections: 8, Bytes: testBytes})
	assert.NilError(t, err)
	l := wrapped.(*limiter)
	return l, func() *testPeer {
		client, server := net.Pipe()
		inner.accept <- server
		c, err := l.Accept()
		assert.NilError(t, err)
		p := &testPeer{Conn: client, accepted: c.(*conn), failed: make(chan error, 1)}
		go func() {
			_, err := io.Copy(io.Discard, c)
			p.failed <- err
		}()
		t.Cleanup(func() { _ = client.Close(); _ = c.Close() })
		return p
	}
}

// send sends n bytes and returns once they were read or the connection has failed.
func (p *testPeer) send(n int) error {
	_, err := p.Write(make([]byte, n))
	time.Sleep(time.Millisecond)
	return err
}

// complete does what the end of an answered call does.
func (p *testPeer) complete() {
	p.accepted.begin()
	p.accepted.setKnown()
	p.accepted.end()
}

// Guards against unknown callers whose messages displace those of real peers: they get half of the memory, and yield.
func TestUnknownCallersYieldToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, open := connect(t)
		stranger, other, peer := open(), open(), open()
		assert.NilError(t, peer.send(10))
		peer.complete()
		assert.NilError(t, stranger.send(40<<10))
		assert.Equal(t, l.memory.Used(), int64(40<<10*memoryFactor))
		go func() {
			for stranger.send(1) == nil { // It does not stall.
				time.Sleep(stallTime / 2)
			}
		}()
		_ = other.send(40 << 10)
		assert.ErrorIs(t, <-other.failed, ErrNoMemory)
		assert.Equal(t, l.refused.Load(), int64(1))
		assert.NilError(t, peer.send(90<<10))
		assert.Assert(t, errors.Is(<-stranger.failed, io.ErrClosedPipe))
		peer.complete()
		assert.NilError(t, peer.send(10))
		assert.Equal(t, l.unknown.Used(), int64(0))
		time.Sleep(stallTime) // The goroutine above ends.
	})
}

// Guards against a stalled message of an unknown caller that keeps others from sending theirs.
func TestStalledMessagesYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, open := connect(t)
		stalled := open()
		assert.NilError(t, stalled.send(40<<10))
		time.Sleep(2 * stallTime)
		next := open()
		assert.NilError(t, next.send(40<<10))
		assert.Assert(t, errors.Is(<-stalled.failed, io.ErrClosedPipe))
		assert.Equal(t, l.reclaimed.Load(), int64(1))
	})
}

// Guards against messages that never end.
func TestIncompleteMessagesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, open := connect(t)
		p := open()
		for range 3 {
			assert.NilError(t, p.send(3<<10))
			time.Sleep(messageTimeout / 3)
		}
		assert.NilError(t, p.send(1))
		time.Sleep(messageTimeout / 3)
		assert.ErrorIs(t, <-p.failed, os.ErrDeadlineExceeded)
		_ = p.accepted.Close()
		assert.Equal(t, l.memory.Used(), int64(0))
		assert.Equal(t, l.unknown.Used(), int64(0))
	})
}

// Guards against idle connections that keep the buffers of a large message, and against small calls whose connections are
// closed.
func TestIdleConnectionsReleaseBuffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, open := connect(t)
		large, small := open(), open()
		for p, n := range map[*testPeer]int{large: 20 << 10, small: freeBytes} {
			assert.NilError(t, p.send(n))
			p.complete()
		}
		time.Sleep(idleRetention / 2)
		assert.NilError(t, large.send(10))
		large.complete()
		time.Sleep(idleRetention / 2)
		assert.Equal(t, l.memory.Used(), int64(20<<10*memoryFactor))
		time.Sleep(idleRetention)
		assert.Assert(t, errors.Is(<-large.failed, io.ErrClosedPipe))
		assert.Equal(t, l.memory.Used(), int64(0))
		assert.NilError(t, small.send(10))
	})
}

// testStream is a stream whose calls are answered, or fail.
type testStream struct {
	drpc.Stream
	ctx context.Context
	err error
}

func (s *testStream) Context() context.Context                  { return s.ctx }
func (s *testStream) MsgRecv(drpc.Message, drpc.Encoding) error { return s.err }
func (s *testStream) MsgSend(drpc.Message, drpc.Encoding) error { return s.err }

// echo answers a call like the handlers of this program.
type echo struct{}

func (echo) HandleRPC(s drpc.Stream, _ string) error {
	if err := s.MsgRecv(nil, nil); err != nil {
		return err
	}
	return s.MsgSend(nil, nil)
}

// Guards against callers that count as peers without an answered call, and peers that do not, also behind a counted
// connection.
func TestPeersAreKnownByAnsweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, open := connect(t)
		var traffic Traffic
		for _, err := range []error{nil, io.ErrUnexpectedEOF} {
			p := open()
			ctx := drpcctx.WithTransport(t.Context(), &countedConn{Conn: p.accepted, traffic: &traffic})
			got := limitedHandler{next: echo{}}.HandleRPC(&testStream{ctx: ctx, err: err}, "rpc")
			assert.Assert(t, errors.Is(got, err))
			assert.Equal(t, p.accepted.isKnown(), err == nil)
		}
	})
}

// Guards against a process that serves without limits because its settings lack them.
func TestMissingLimits(t *testing.T) {
	_, err := Limit(&pipeListener{}, Limits{Bytes: 1 << 20})
	assert.ErrorIs(t, err, listener.ErrOptions)
	_, err = Limit(&pipeListener{}, Limits{Connections: 1})
	assert.ErrorIs(t, err, listener.ErrBudget)
}
