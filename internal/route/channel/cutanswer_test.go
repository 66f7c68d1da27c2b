package channel_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/socket"
)

// longBody is the length of a body that exceeds the buffers of a connection.
const longBody = 16 << 20

// withTestEarlyUpstream starts an upstream that responds to each call before it has read the body, and then ends the connection.
func withTestEarlyUpstream(t *testing.T, response string, end func(net.Conn)) *faulty.Server {
	t.Helper()
	s, err := faulty.StartEarly(func(*http.Request) string { return response }, end)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// sendLong sends a call with a long body to an upstream and returns the complete body of its response.
func sendLong(t *testing.T, u *faulty.Server) (string, error) {
	t.Helper()
	call := testCall("a")
	call.Body = make([]byte, longBody)
	return roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), u.Address, call)
}

// Guards against the part of a response that arrived before a reset passing for the whole one, because the failed write of the
// call has taken the error from the connection.
func TestResponseCutByAResetUnderALongCallIsBroken(t *testing.T) {
	const tries = 5
	ends := map[string]func(time.Duration) func(net.Conn){"reset": faulty.ResetAfter, "close": faulty.CloseAfter}
	for name, response := range map[string]string{
		"plain":  "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart",
		"events": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\npart",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"head":   "HTTP/1.1 200 OK\r\nId: a\r\n",
	} {
		for how, end := range ends {
			for _, wait := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%s/%v", name, how, wait), func(t *testing.T) {
					u := withTestEarlyUpstream(t, response, end(wait))
					for range tries {
						body, err := sendLong(t, u)
						assert.Assert(t, errors.Is(err, channel.ErrBroken), "body %q, error %v", body, err)
					}
				})
			}
		}
	}
}

// Guards against the loss of a response that is whole by its own length when its upstream does not read the whole call.
func TestWholeResponseBeforeAResetUnderALongCallIsRead(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := sendLong(t, withTestEarlyUpstream(t, response, faulty.ResetAfter(20*time.Millisecond)))
			assert.NilError(t, err)
			assert.Equal(t, body, "whole")
		})
	}
}

// Guards against taking a response that ends with the upstream's side of the connection for a cut one because the call is long.
func TestResponseWithoutLengthToALongCallIsRead(t *testing.T) {
	u := withTestUpstream(t, func(_ int, _ *http.Request, c net.Conn) bool {
		write(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		return false
	})
	call := testCall("a")
	call.Body = make([]byte, longBody)
	body, err := roundTrip(t, channel.NewPool(socket.Dialer(testTimeout)), u.address, call)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}
