package harness

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stopping side process that accepts requests longer than it says, because entry processes answer slowly.
func TestSilentEntryProcessesDoNotExtendTheTimeInWhichAStoppingSideProcessAcceptsRequests(t *testing.T) {
	const silent, accepts = 3, 1500 * time.Millisecond
	h := withTestHarness(t, func(o *Options) { o.Vms, o.ServiceVms = 0, 0 })
	vm, err := h.AddVm(h.options.Deployment.OnceGroup)
	assert.NilError(t, err)
	vm.Side.Kill()
	vm.settings.Peers = nil
	for range silent {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		vm.settings.Peers = append(vm.settings.Peers, l.Addr().String())
	}
	vm.overrides.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	assert.NilError(t, h.StartSide(vm))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	began, stopped := time.Now(), make(chan struct{})
	go func() { vm.Side.Stop(ctx); close(stopped) }()
	<-stopped
	assert.Assert(t, time.Since(began) < accepts, "an idle process has stopped after %v", time.Since(began))
}
