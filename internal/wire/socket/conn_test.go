package socket_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

const (
	testTimeout = 10 * time.Second
	// longMessage exceeds the buffers of a connection.
	longMessage = 16 << 20
)

// dialWriting connects to address and writes a long message in the background, in parts of partBytes. The result of the write is
// received from the channel.
func dialWriting(t *testing.T, address string, partBytes int) (*socket.Conn, <-chan error) {
	t.Helper()
	raw, err := net.DialTimeout("tcp", address, testTimeout)
	assert.NilError(t, err)
	c := socket.NewConn(raw)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", longMessage))
		part := make([]byte, partBytes)
		for n := 0; n < longMessage && err == nil; n += partBytes {
			_, err = c.Write(part)
		}
		written <- err
	}()
	return c, written
}

// Guards against a reset that a reader takes for an orderly end because a concurrent write has taken the error.
func TestResetUnderAConcurrentWriteIsNoOrderlyEnd(t *testing.T) {
	const tries = 50
	for _, partBytes := range []int{1 << 10, 32 << 10, longMessage} {
		for _, wait := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d/%v", partBytes, wait), func(t *testing.T) {
				s, err := faulty.StartEarly(func(r *http.Request) string { return "part" }, faulty.ResetAfter(wait))
				assert.NilError(t, err)
				defer s.Close()
				for range tries {
					c, written := dialWriting(t, s.Address, partBytes)
					received, err := io.ReadAll(c)
					assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%q, %v", received, err)
					assert.Assert(t, <-written != nil)
				}
			})
		}
	}
}
