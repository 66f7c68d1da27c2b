package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/settings"
	"github.com/oriolehub/oriolehub/internal/route/dispatch"
	"github.com/oriolehub/oriolehub/internal/wire/identity"
)

// withTestService starts a harness with two entry processes and one VM of a plain service in each failure domain,
// without engines, and waits until both entry processes answer.
func withTestService(t *testing.T, change func(*Options)) *Harness {
	t.Helper()
	t.Parallel()
	h := withTestHarness(t, func(o *Options) {
		o.Vms = 0
		o.ServiceVms = 3
		o.Entries = 2
		change(o)
	})
	apply(t, h, h.options.Deployment.Rules(""))
	for i := range h.Entries {
		awaitOutcome(t, h, i, "answered")
	}
	return h
}

// send sends one request that must not run twice, with an idempotency key unless key is empty. It returns the outcome
// and the status; the outcome is "error" if there is no response and "cut" if the response is incomplete.
func send(ctx context.Context, h *Harness, entry int, id, key string) (string, int) {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	target := "http://" + h.Entries[entry].HttpAddress() + "/ticket-desk/tickets"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("{}"))
	if err != nil {
		return "error", 0
	}
	r.Header.Set(dispatch.HeaderRequestID, id)
	if key != "" {
		r.Header.Set(dispatch.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "error", 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return "cut", resp.StatusCode
	}
	return resp.Header.Get(dispatch.HeaderOutcome), resp.StatusCode
}

func awaitOutcome(t *testing.T, h *Harness, entry int, want string) {
	t.Helper()
	n := 0
	assert.NilError(t, Await(t.Context(), testTimeout, func() bool {
		n++
		outcome, _ := send(t.Context(), h, entry, fmt.Sprintf("await-%d-%s-%d", entry, want, n), "")
		return outcome == want
	}))
}

// admittedAt returns the number of requests that the VMs of a failure domain have admitted so far.
func admittedAt(h *Harness, domain string) int {
	n := 0
	for _, vm := range h.Vms {
		if vm.Place.Domain == domain {
			n += vm.Side.Admitted()
		}
	}
	return n
}

// TestDomainOutAndIn takes a failure domain out of service, in which no VM may then admit a request, and back in.
func TestDomainOutAndIn(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	const out = "canal-a"
	rules := h.options.Deployment.Rules("")
	apply(t, h, rules+"Out canal-a # Hoda: rack work\n")
	applied := func(want bool) func() bool {
		return func() bool {
			for _, e := range h.Entries {
				if e.View().Rules.DomainOut(out) != want {
					return false
				}
			}
			for _, vm := range h.Vms {
				if vm.Place.Domain == out && (vm.Side.Guard().Blocked() != "") != want {
					return false
				}
			}
			return true
		}
	}
	assert.NilError(t, Await(t.Context(), testTimeout, applied(true)))
	before := admittedAt(h, out)
	for i := range 60 {
		outcome, _ := send(t.Context(), h, i%2, fmt.Sprint("out-", i), "")
		assert.Equal(t, outcome, "answered")
	}
	assert.Equal(t, admittedAt(h, out), before, "request admitted in a failure domain that is out of service")
	apply(t, h, rules)
	assert.NilError(t, Await(t.Context(), testTimeout, applied(false)))
	n := 0
	assert.NilError(t, Await(t.Context(), testTimeout, func() bool {
		n++
		outcome, _ := send(t.Context(), h, n%2, fmt.Sprint("in-", n), "")
		assert.Equal(t, outcome, "answered")
		return admittedAt(h, out) > before
	}))
	assert.Equal(t, h.Runs.Repeated(), 0)
}

// TestSideRefusesForADomainThatIsOut takes the failure domain out of service at the side process only, as if the entry
// process did not have the rule yet. The side process must reject the request.
func TestSideRefusesForADomainThatIsOut(t *testing.T) {
	h := withTestService(t, func(o *Options) { o.ServiceVms = 1 })
	for _, vm := range h.Vms {
		vm.Side.Guard().Block("failure domain is out of service")
	}
	outcome, status := send(t.Context(), h, 0, "refused", "")
	assert.Equal(t, outcome, "not-run")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, h.Runs.Of("refused"), 0)
}

// TestAllDomainsOut takes all failure domains out of service. Requests must be rejected as not run and must not run.
func TestAllDomainsOut(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	rules := h.options.Deployment.Rules("")
	for _, p := range h.options.Deployment.Places {
		rules += fmt.Sprintf("Out %s # Hoda: everything\n", p.Domain)
	}
	apply(t, h, rules)
	awaitOutcome(t, h, 0, "not-run")
	outcome, status := send(t.Context(), h, 0, "none", "")
	assert.Equal(t, outcome, "not-run")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, h.Runs.Of("none"), 0)
}

// TestLeavingSideCompletesRequests stops a side process while requests are in progress, all of which must complete.
func TestLeavingSideCompletesRequests(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	for _, vm := range h.Vms {
		// Longer than the leave notice of a stopping side process, so that requests are still in progress after it.
		vm.Service.SetDelay(1500 * time.Millisecond)
	}
	const calls = 24
	outcomes := make([]string, calls)
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			outcomes[i], _ = send(t.Context(), h, i%2, fmt.Sprint("leave-", i), "")
		})
	}
	assert.NilError(t, Await(t.Context(), testTimeout, func() bool {
		_, inProgress := h.Vms[0].Side.Guard().Load()
		return inProgress > 0
	}))
	h.Vms[0].Side.Stop(t.Context())
	running.Wait()
	for i, o := range outcomes {
		assert.Equal(t, o, "answered", "request %d", i)
		assert.Equal(t, h.Runs.Of(fmt.Sprint("leave-", i)), 1)
	}
}

// TestKeyedCallRunsOnceThroughTwoEntries sends a request with the same idempotency key through both entry processes
// concurrently. It must run once.
func TestKeyedCallRunsOnceThroughTwoEntries(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	for round := range 10 {
		var running sync.WaitGroup
		var outcomes [2]string
		for e := range 2 {
			running.Go(func() {
				outcomes[e], _ = send(t.Context(), h, e, fmt.Sprintf("k-%d-%d", round, e), fmt.Sprint("key-", round))
			})
		}
		running.Wait()
		ran := h.Runs.Of(fmt.Sprintf("k-%d-0", round)) + h.Runs.Of(fmt.Sprintf("k-%d-1", round))
		assert.Equal(t, ran, 1, "%v", outcomes)
	}
}

// TestCallerRetriesAfterEntryDies kills an entry process while requests are in progress and repeats them with the same
// idempotency keys through the other one. None may run twice.
func TestCallerRetriesAfterEntryDies(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	for _, vm := range h.Vms {
		vm.Service.SetDelay(400 * time.Millisecond)
	}
	const calls = 6
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() { _, _ = send(t.Context(), h, 0, fmt.Sprint("first-", i), fmt.Sprint("key-", i)) })
	}
	assert.NilError(t, Await(t.Context(), testTimeout, func() bool { return h.Runs.Of("first-0") > 0 }))
	h.Entries[0].Kill()
	running.Wait()
	for i := range calls {
		_, _ = send(t.Context(), h, 1, fmt.Sprint("second-", i), fmt.Sprint("key-", i))
		ran := h.Runs.Of(fmt.Sprint("first-", i)) + h.Runs.Of(fmt.Sprint("second-", i))
		assert.Assert(t, ran <= 1, "request %d ran %d times", i, ran)
	}
}

// TestKeyedCallIsRefusedWhileTheStoreIsDown makes the store unavailable. A request with an idempotency key must be
// rejected, because its key cannot be claimed and another entry process could run the request too; others must be
// answered.
func TestKeyedCallIsRefusedWhileTheStoreIsDown(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	h.Store.SetDown(true)
	outcome, status := send(t.Context(), h, 0, "keyed", "key")
	assert.Equal(t, outcome, "not-run")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, h.Runs.Of("keyed"), 0)
	outcome, _ = send(t.Context(), h, 0, "plain", "")
	assert.Equal(t, outcome, "answered")
}

// TestUpstreamDies breaks the connection to the upstream before or after the upstream has run a request. The entry
// process cannot distinguish the two cases and must not retry.
func TestUpstreamDies(t *testing.T) {
	for name, after := range map[string]bool{"before the run": false, "after the run": true} {
		t.Run(name, func(t *testing.T) {
			h := withTestService(t, func(o *Options) { o.ServiceVms = 1 })
			// These requests fill the retry budget, so that only the rule for at-most-once requests prevents a retry.
			for i := range 30 {
				_, _ = send(t.Context(), h, 0, fmt.Sprint("paid-", i), "")
			}
			h.Vms[0].Service.BreakNext(after)
			outcome, status := send(t.Context(), h, 0, "broken", "")
			assert.Equal(t, outcome, "unknown")
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Assert(t, h.Runs.Of("broken") <= 1)
		})
	}
}

// TestSilentConnectionsOfOnceOnlyCalls makes all connections drop all traffic, without closing them, while requests
// that must not run twice are in progress. Each must be answered and run once.
func TestSilentConnectionsOfOnceOnlyCalls(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	for _, vm := range h.Vms {
		vm.Service.SetDelay(500 * time.Millisecond)
	}
	const calls = 6
	outcomes := make([]string, calls)
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() { outcomes[i], _ = send(t.Context(), h, i%2, fmt.Sprint("silent-", i), "") })
	}
	// A request that has not reached its upstream when the traffic stops may be refused as not run.
	allRun := func() bool {
		for i := range calls {
			if h.Runs.Of(fmt.Sprint("silent-", i)) == 0 {
				return false
			}
		}
		return true
	}
	assert.NilError(t, Await(t.Context(), testTimeout, allRun))
	h.Network.Silence(nil)
	running.Wait()
	for i, o := range outcomes {
		runs := h.Runs.Of(fmt.Sprint("silent-", i))
		assert.Equal(t, o, "answered", "request %d", i)
		assert.Equal(t, runs, 1)
	}
}

// TestListedAsLeaving marks a VM as leaving in the platform's VM list, after which it may admit no new requests.
func TestListedAsLeaving(t *testing.T) {
	h := withTestService(t, func(*Options) {})
	vm := h.Vms[0]
	inService := func(n int) func() bool {
		return func() bool {
			return h.Entries[0].InService(vm.Group) == n && h.Entries[1].InService(vm.Group) == n
		}
	}
	assert.NilError(t, Await(t.Context(), testTimeout, inService(3)))
	h.VmList.Put(hub.VM{Id: vm.Id, Leaving: true})
	assert.NilError(t, Await(t.Context(), testTimeout, inService(2)))
	before := vm.Side.Admitted()
	for i := range 60 {
		outcome, _ := send(t.Context(), h, i%2, fmt.Sprint("listed-", i), "")
		assert.Equal(t, outcome, "answered")
	}
	assert.Equal(t, vm.Side.Admitted(), before, "request admitted at a VM that is listed as leaving")
}

// TestMutualTls publishes and loads weights in a deployment in which every process has its own TLS certificate.
func TestMutualTls(t *testing.T) {
	authority, err := identity.NewAuthority(deployment.Nakhla, time.Hour)
	assert.NilError(t, err)
	dir := t.TempDir()
	h := withTestService(t, func(o *Options) {
		o.Vms = 2
		o.TlsSettings = func(id, role string) settings.Tls {
			files, err := authority.Issue(dir, id, role, time.Hour)
			assert.NilError(t, err)
			return settings.Tls{Mode: "mutual", AuthorityFile: files.Authority, CertificateFile: files.Certificate, KeyFile: files.Key}
		}
	})
	content := randomContent(1, 256<<10)
	version := h.options.Deployment.Version("1")
	_, err = h.Origin.Publish(version, content, 16<<10)
	assert.NilError(t, err)
	apply(t, h, h.options.Deployment.Rules(version))
	assert.NilError(t, Await(t.Context(), testTimeout, func() bool { return h.Serving(digestOf(content)) == 2 }))
}
