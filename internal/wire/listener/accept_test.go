package listener_test

import (
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// failingListener fails a number of times to accept a connection.
type failingListener struct {
	*pipeListener
	failures int
	err      error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.pipeListener.Accept()
}

// Guards against a server that accepts no connections any more because the system lacked memory for one.
func TestServerAcceptsAgainAfterAnError(t *testing.T) {
	for _, err := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EMFILE, syscall.ENETDOWN} {
		synctest.Test(t, func(t *testing.T) {
			inner := &failingListener{pipeListener: newPipeListener(), failures: 3, err: err}
			l, optionErr := listener.New(inner, listener.Options{MaxConnections: 3, HTTP: true})
			assert.NilError(t, optionErr)
			s := &http.Server{Handler: http.HandlerFunc(ok), ConnState: l.ConnState, ConnContext: l.ConnContext}
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			t.Cleanup(func() { _ = s.Close(); time.Sleep(time.Second) })
			time.Sleep(grace)
			synctest.Wait()
			assert.Equal(t, len(served), 0, "%v: the server has ended", err)
			c := inner.dial("::1")
			send(t, c, request)
			assert.Equal(t, status(t, c), http.StatusOK)
			_ = c.Close()
		})
	}
}

// Guards against a listener that goes on after it has been closed.
func TestClosedListenerEnds(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l, err := listener.New(inner, listener.Options{MaxConnections: 3})
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
