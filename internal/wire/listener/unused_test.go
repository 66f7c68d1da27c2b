package listener_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/wire/listener"
)

// Guards against closing connections with a request, or a part of one, together with those on which nothing was sent.
func TestOnlyUnusedConnectionsAreClosedAsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		inner, l := serve(t, listener.Options{MaxConnections: 4}, func(http.ResponseWriter, *http.Request) { <-release })
		unused, begun, active := inner.dial("::1"), inner.dial("::2"), inner.dial("::3")
		send(t, begun, request[:len(request)/2])
		send(t, active, request)
		time.Sleep(grace)
		l.CloseUnused()
		close(release)
		assert.Equal(t, status(t, active), http.StatusOK)
		send(t, begun, request[len(request)/2:])
		assert.Equal(t, status(t, begun), http.StatusOK)
		assert.Assert(t, !isOpen(t, unused))
	})
}
