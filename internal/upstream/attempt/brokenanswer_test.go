package attempt

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

// longBody is the length of a body that exceeds the buffers of a connection.
const longBody = 16 << 20

// withTestEarlyUpstream starts an upstream that responds before it reads the body of a request, and returns a runner for it.
func withTestEarlyUpstream(t *testing.T, response string, end func(net.Conn)) *Runner {
	t.Helper()
	s, err := faulty.StartEarly(func(*http.Request) string { return response }, end)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return NewRunner(&url.URL{Scheme: "http", Host: s.Address}, false, func(int) {})
}

// runTest runs an attempt with a body of a length.
func runTest(t *testing.T, r *Runner, length int, idempotent bool) *Attempt {
	t.Helper()
	a := newAttempt("a", "r", idempotent, func(error) {})
	r.Run(t.Context(), a, &message.RunRequest{Method: http.MethodPost, Target: "/", Body: make([]byte, length), Idempotent: idempotent})
	return a
}

// Guards against the part of a response that arrived before a reset passing for the whole one, because the failed write of the
// request has taken the error from the connection.
func TestResponseCutByAResetUnderALongRequestIsBroken(t *testing.T) {
	const tries = 5
	for _, idempotent := range []bool{false, true} {
		for _, wait := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("idempotent %v/%v", idempotent, wait), func(t *testing.T) {
				r := withTestEarlyUpstream(t, "HTTP/1.1 200 OK\r\n\r\npart", faulty.ResetAfter(wait))
				for range tries {
					a := runTest(t, r, longBody, idempotent)
					assert.Equal(t, a.State(), StateBroken)
				}
			})
		}
	}
}

// Guards against the loss of an early response that is whole by its length.
func TestWholeResponseBeforeAResetUnderALongRequestIsRead(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		a := newAttempt("a", "r", idempotent, func(error) {})
		resetAfterHead := func(c net.Conn) {
			for a.State() == StateRunning {
				time.Sleep(time.Millisecond)
			}
			faulty.ResetAfter(0)(c)
		}
		r := withTestEarlyUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", resetAfterHead)
		r.Run(t.Context(), a, &message.RunRequest{Method: http.MethodPost, Target: "/", Body: make([]byte, longBody), Idempotent: idempotent})
		assert.Equal(t, a.State(), StateAnswered)
		assert.Equal(t, string(a.body), "whole")
	}
}

// Guards against responses with malformed heads, which reach the caller with a status that is none or with another body.
func TestResponseWithAMalformedHeadIsBroken(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":           "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nwhole",
		"status 099":           "HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nwhole",
		"status 101":           "HTTP/1.1 101 X\r\nContent-Length: 5\r\n\r\nwhole",
		"blank after a length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwholeextra",
		"blank after a coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"blank inside a name":  "HTTP/1.1 200 OK\r\nEx tra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"control byte":         "HTTP/1.1 200 OK\r\nEx\x01tra: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"folded line":          "HTTP/1.1 200 OK\r\nOther: x\r\n Content-Length: 5\r\n\r\nwholeextra",
		"chunks in HTTP/1.0":   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"interim, then folded": "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nOther: x\r\n Content-Length: 5\r\n\r\nwholeextra",
		"version":              "HTTP/9.9 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/idempotent %v", name, idempotent), func(t *testing.T) {
				a := runTest(t, withTestEarlyUpstream(t, response, faulty.CloseAfter(0)), 1, idempotent)
				assert.Equal(t, a.State(), StateBroken)
				assert.Equal(t, a.status, 0)
			})
		}
	}
}

// Guards against a response that follows a malformed one on its connection being taken for that to the next request.
func TestConnectionOfAMalformedResponseIsNotUsedAgain(t *testing.T) {
	follow := func(c net.Conn) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		_, _ = io.Copy(io.Discard, c)
	}
	r := withTestEarlyUpstream(t, "HTTP/1.1 200 OK\r\nEx tra: 1\r\nContent-Length: 0\r\n\r\n", follow)
	for range 5 {
		a := runTest(t, r, 0, true)
		assert.Equal(t, a.State(), StateBroken, "%s", a.body)
	}
}
