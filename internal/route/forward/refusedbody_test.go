package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/route/channel"
	"github.com/oriolehub/oriolehub/internal/route/forward"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// exchangeOn sends a request on c and returns the status of the response.
func exchangeOn(c net.Conn, request string) (int, error) {
	go func() { _, _ = io.WriteString(c, request) }()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// Guards against callers whose bodies have been refused, and who send nothing more, holding connections that others need.
func TestRefusedBodiesDoNotHoldConnections(t *testing.T) {
	const begin = "POST /many/x HTTP/1.1\r\nHost: h.test\r\n" + desired.HeaderKey + ": k1\r\n"
	for name, request := range map[string]string{
		"length": begin + "Content-Length: 1000\r\n\r\nx",
		"chunks": begin + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := withTestPipes(t)
				u := p.upstream(respond(http.StatusOK, "whole"))
				withFixtureOptions(t, fixtureOptions{
					pool:  channel.NewPool(p.dial),
					limit: func(o *forward.Options) { o.Memory = forward.Memory{ShortRequests: 1} },
					serve: func(h http.Handler) *httptest.Server {
						s := httptest.NewUnstartedServer(listener.LimitBodies(testTimeout)(h))
						_ = s.Listener.Close()
						l, err := listener.New(p, listener.Options{MaxConnections: 1, HTTP: true})
						assert.NilError(t, err)
						s.Listener, s.Config.ConnState, s.Config.ConnContext = l, l.ConnState, l.ConnContext
						s.Start()
						return s
					},
				}, u)
				refused, err := p.connect()
				assert.NilError(t, err)
				status, err := exchangeOn(refused, request)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusServiceUnavailable)
				time.Sleep(3 * time.Second)
				other, err := p.connect()
				assert.NilError(t, err)
				status, err = exchangeOn(other, begin+"Content-Length: 0\r\n\r\n")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				_ = other.Close()
				_ = refused.Close()
			})
		})
	}
}
