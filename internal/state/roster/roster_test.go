package roster

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/vmlist"
)

// Guards against VMs that are not listed yet counting as removed, and against the loss of known removals while the list
// cannot be read.
func TestRoster(t *testing.T) {
	list := vmlist.New(0)
	server := httptest.NewServer(list)
	defer server.Close()
	r := New(NewClient(server.URL), time.Hour, journal.Discard().Logger(journal.State))
	list.Put(hub.VM{Id: "a"})
	list.Put(hub.VM{Id: "b"})
	r.Read(t.Context())
	assert.Assert(t, !r.Leaving("a"))
	assert.Assert(t, !r.Leaving("not listed yet"))
	list.Put(hub.VM{Id: "a", Leaving: true})
	list.Remove("b")
	r.Read(t.Context())
	assert.Assert(t, r.Leaving("a"))
	assert.Assert(t, r.Leaving("b"))
	list.SetDown(true)
	r.Read(t.Context())
	assert.Assert(t, r.Leaving("b"), "a failed read of the list reset the state of b")
	list.SetDown(false)
	list.Put(hub.VM{Id: "b"})
	r.Read(t.Context())
	assert.Assert(t, !r.Leaving("b"))
}
