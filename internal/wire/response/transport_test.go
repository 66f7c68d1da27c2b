package response_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/standin/faulty"
	"github.com/oriolehub/oriolehub/internal/wire/response"
)

// longBody is the length of a body that exceeds the buffers of a connection.
const longBody = 16 << 20

// post sends a body of a length to a server that answers early, and returns the complete body of the response.
func post(t *testing.T, answer string, end func(net.Conn), length int) (string, error) {
	t.Helper()
	s, err := faulty.StartEarly(func(*http.Request) string { return answer }, end)
	assert.NilError(t, err)
	defer s.Close()
	transport := response.DefaultTransport()
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address, bytes.NewReader(make([]byte, length)))
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against the part of a body that arrived before a reset passing for the whole one.
func TestTransportFailsForABodyCutByAResetUnderARequest(t *testing.T) {
	const tries = 20
	for _, wait := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			for range tries {
				body, err := post(t, "HTTP/1.1 200 OK\r\n\r\npart", faulty.ResetAfter(wait), longBody)
				assert.Assert(t, err != nil, "body %q", body)
			}
		})
	}
}

// Guards against heads that the transport of net/http accepts.
func TestTransportFailsForMalformedHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 X\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 200 OK\r\nEx tra: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n", "HTTP/9.9 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nOther: x\r\n Extra: 1\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 103 X\r\nOther: x\r\n Extra: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		body, err := post(t, head+"Content-Length: 5\r\n\r\nwhole", faulty.CloseAfter(0), 1)
		assert.ErrorIs(t, err, response.ErrMalformed, "%q: body %q", head, body)
	}
}

// Guards against refusing the responses of servers that speak HTTP/2 over TLS.
func TestTransportReadsHTTP2(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: response.NewTransport(base)}
	resp, err := client.Get(s.URL)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "HTTP/2.0")
}

// Guards against scanning the first head of a connection only, and against scanning bodies.
func TestTransportScansTheHeadsOfEachResponse(t *testing.T) {
	const (
		sound  = "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n\n Extra: 1\n\n 2\n\n"
		folded = "HTTP/1.1 200 OK\r\nOther: x\r\n Extra: 1\r\nContent-Length: 0\r\n\r\n"
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		for _, answer := range []string{sound, sound, folded} {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, answer)
		}
	}()
	client := &http.Client{Transport: response.DefaultTransport()}
	for range 2 {
		resp, err := client.Get("http://" + l.Addr().String())
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), 16)
		assert.NilError(t, resp.Body.Close())
	}
	_, err = client.Get("http://" + l.Addr().String())
	assert.ErrorIs(t, err, response.ErrMalformed)
}
