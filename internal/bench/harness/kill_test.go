package harness

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that an operator's profile keeps from ending.
func TestKillDoesNotWaitForAProfile(t *testing.T) {
	const limit, recording = 2 * time.Second, "8"
	h := withTestHarness(t, func(o *Options) { o.Vms, o.ServiceVms = 0, 1 })
	for name, d := range map[string]struct {
		admin string
		kill  func()
	}{
		"side":  {h.Vms[0].Side.Member().AdminAddress, h.Vms[0].Side.Kill},
		"entry": {h.Entries[0].Member().AdminAddress, h.Entries[0].Kill},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", d.admin)
			assert.NilError(t, err)
			defer c.Close()
			r, err := http.NewRequest(http.MethodGet, "http://"+d.admin+"/debug/pprof/trace?seconds="+recording, nil)
			assert.NilError(t, err)
			assert.NilError(t, r.Write(c))
			time.Sleep(300 * time.Millisecond)
			began := time.Now()
			d.kill()
			assert.Assert(t, time.Since(began) < limit, "ended after %v", time.Since(began))
		})
	}
}
