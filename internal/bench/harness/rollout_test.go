package harness

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/hub"
	client "github.com/oriolehub/oriolehub/internal/upstream/engine"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// testTimeout is reached only by a hang, also on a busy machine.
	testTimeout              = 2 * time.Minute
	versionBytes             = 1 << 20
	slowOriginBytesPerSecond = 1 << 20
	chunkBytes               = 16 << 10
	vmCount                  = 6
	partialChunks            = 8
)

// rollout is a harness whose engines all serve a first version, ready for the rollout of a second one.
type rollout struct {
	*Harness
	t *testing.T
	// first is the root digest of the first version.
	first string
	// roots holds the root digests of all published versions.
	roots map[string]bool
	// lastSeed is the random seed of the content published last.
	lastSeed int64
}

// withTestRollout starts a harness whose origin takes about a second to send the second version once.
func withTestRollout(t *testing.T, change func(*Options)) *rollout {
	t.Helper()
	t.Parallel()
	h := withTestHarness(t, func(o *Options) {
		o.Vms = vmCount
		o.ServiceVms = 0
		change(o)
	})
	r := &rollout{Harness: h, t: t, roots: map[string]bool{}}
	r.first = r.publish("first")
	r.serveVersion("first")
	r.awaitServed(r.first, h.options.Vms)
	h.Origin.LimitLink(slowOriginBytesPerSecond)
	return r
}

func (r *rollout) version(tag string) string { return r.options.Deployment.Version(tag) }

// publish publishes new content at the origin under the given tag and returns its root digest.
func (r *rollout) publish(tag string) string {
	r.t.Helper()
	r.lastSeed++
	m, err := r.Origin.Publish(r.version(tag), randomContent(r.lastSeed, versionBytes), chunkBytes)
	assert.NilError(r.t, err)
	r.roots[m.Root] = true
	return m.Root
}

func (r *rollout) serveVersion(tag string, more ...string) {
	r.t.Helper()
	apply(r.t, r.Harness, r.options.Deployment.Rules(r.version(tag), more...))
}

func (r *rollout) await(failure string, condition func() bool) {
	r.t.Helper()
	assert.NilError(r.t, Await(r.t.Context(), testTimeout, condition), failure)
}

func (r *rollout) awaitServed(root string, vms int) {
	r.t.Helper()
	err := Await(r.t.Context(), testTimeout, func() bool { return r.Serving(root) >= vms })
	if err != nil {
		for _, vm := range r.EngineVms() {
			m := vm.Side.Member()
			r.t.Logf("%s %s serving %.20s held %.20s fetching %.20s %d/%d %s", vm.Id, m.State, m.ServingRoot, m.HeldRoot, m.FetchingRoot, m.ChunksHeld, m.ChunksTotal, m.Note)
		}
	}
	assert.NilError(r.t, err, "%d of %d VMs serve the version", r.Serving(root), vms)
}

// awaitPartial waits until a VM holds at least partialChunks chunks of the weights with the given root digest.
func (r *rollout) awaitPartial(root string) {
	r.t.Helper()
	r.await("no VM holds a part of the version", func() bool {
		for _, vm := range r.EngineVms() {
			m := vm.Side.Member()
			if held, _, fetching := vm.Side.FetchProgress(); fetching == root && held >= partialChunks || m.HeldRoot == root {
				return true
			}
		}
		return false
	})
}

// checkCompleteWeights checks that every engine has loaded only complete published weights, has never answered without
// complete weights and has never changed its weights during a response.
func (r *rollout) checkCompleteWeights() {
	r.t.Helper()
	for _, vm := range r.EngineVms() {
		observed := vm.Engine.Observations()
		assert.Equal(r.t, observed.Mixed, 0, vm.Id)
		assert.Equal(r.t, observed.Wrong, 0, vm.Id)
		for _, digest := range observed.Loads {
			assert.Assert(r.t, r.roots[digest], "%s loaded unpublished weights %s", vm.Id, digest)
		}
	}
}

// TestEngineNeverReadsPartialWeights requests the weights from side processes that have fetched only a part of them.
// They must answer with status 404, because an engine that read them would serve incomplete weights.
func TestEngineNeverReadsPartialWeights(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	r.Origin.SetStalled(true)
	for _, vm := range r.EngineVms() {
		if vm.Side.Member().HeldRoot == second {
			continue
		}
		resp, err := http.Get(vm.Side.ContentURL(second))
		assert.NilError(t, err)
		resp.Body.Close()
		if vm.Side.Member().HeldRoot != second {
			assert.Equal(t, resp.StatusCode, http.StatusNotFound, vm.Id)
		}
	}
	r.Origin.SetStalled(false)
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestVmDiesDuringRollout kills a VM in the middle of a rollout. The other VMs must complete it: chunks that were
// assigned to the dead VM must be fetched from the origin or from other VMs.
func TestVmDiesDuringRollout(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	r.KillVm(r.Vms[1])
	r.awaitServed(second, vmCount-1)
	r.checkCompleteWeights()
}

// TestOriginStallsDuringRollout suspends the transfers of the origin for 3 s without closing their connections. The
// rollout must complete after that.
func TestOriginStallsDuringRollout(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	r.Origin.SetStalled(true)
	time.Sleep(3 * time.Second)
	r.Origin.SetStalled(false)
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestOriginRateLimitsRequests makes the origin reject requests with status 429 for a while. The side processes must
// repeat them, or the rollout would never complete.
func TestOriginRateLimitsRequests(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	r.Origin.SetRefusing(true)
	r.await("origin rejected no request", func() bool { return r.Origin.Refused() > 0 })
	time.Sleep(time.Second)
	r.Origin.SetRefusing(false)
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestPeerStallsWithoutClosing makes one VM stop in the middle of chunk transfers without closing the streams. The
// receivers must fetch the chunks from elsewhere instead of waiting for it.
func TestPeerStallsWithoutClosing(t *testing.T) {
	var faults ChunkFaults
	r := withTestRollout(t, func(o *Options) {
		o.WrapWeights = func(vm int, s message.DRPCWeightsServer) message.DRPCWeightsServer {
			if vm == 1 {
				return faults.Wrap(s)
			}
			return s
		}
	})
	faults.Stalled.Store(true)
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestCorruptChunksFromPeers makes one VM send only corrupt chunks. The receivers must discard them and fetch the
// chunks from elsewhere; an engine must never load them.
func TestCorruptChunksFromPeers(t *testing.T) {
	var faults ChunkFaults
	r := withTestRollout(t, func(o *Options) {
		o.WrapWeights = func(vm int, s message.DRPCWeightsServer) message.DRPCWeightsServer {
			if vm == 1 {
				return faults.Wrap(s)
			}
			return s
		}
	})
	const unlimited = 1 << 30
	faults.Corrupt.Store(unlimited)
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitServed(second, vmCount)
	assert.Assert(t, faults.Corrupt.Load() < unlimited, "no chunk was corrupted")
	r.checkCompleteWeights()
}

// TestCorruptChunksFromOrigin corrupts the first five content responses of the origin. The side processes must fetch
// the chunks again; an engine must never load corrupt ones.
func TestCorruptChunksFromOrigin(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	r.Origin.CorruptNext(5)
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestContentOfPinnedVersionChanges publishes other content under a version name that is already pinned. No VM may
// serve it, and the rollout must complete once the pinned content is published again.
func TestContentOfPinnedVersionChanges(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	_, err := r.Origin.Publish(r.version("second"), randomContent(99, versionBytes), chunkBytes)
	assert.NilError(t, err)
	time.Sleep(2 * time.Second)
	for _, vm := range r.EngineVms() {
		m := vm.Side.Member()
		assert.Assert(t, m.ServingRoot == r.first || m.ServingRoot == second, vm.Id)
	}
	_, err = r.Origin.Publish(r.version("second"), randomContent(r.lastSeed, versionBytes), chunkBytes)
	assert.NilError(t, err)
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestSecondRolloutOvertakesTheFirst starts another rollout before the previous one has completed. Every engine must
// load the newer version last and reject a load order of an earlier rules revision.
func TestSecondRolloutOvertakesTheFirst(t *testing.T) {
	r := withTestRollout(t, func(o *Options) { o.FencedPercent = 100 })
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	third := r.publish("third")
	r.serveVersion("third")
	r.awaitServed(third, vmCount)
	r.checkCompleteWeights()
	revision := r.Entries[0].View().RulesRevision
	for _, vm := range r.EngineVms() {
		loads := vm.Engine.Observations().Loads
		assert.Equal(t, loads[len(loads)-1], third)
		// A load order of an earlier rules revision arrives late, as from a process that was paused.
		old := hub.EngineOrder{Version: "old", Digest: r.first, Source: vm.Side.ContentURL(r.first), Fence: revision - 1}
		err := client.New(vm.settings.Upstream.Url).Load(t.Context(), old)
		assert.ErrorIs(t, err, hub.ErrFenced)
	}
}

// TestOldOrderToAnEngineWithoutFence sends an obsolete load order to an engine that ignores fencing tokens. The side
// process must notice that the engine serves other weights and order it to load the target version again.
func TestOldOrderToAnEngineWithoutFence(t *testing.T) {
	r := withTestRollout(t, func(o *Options) { o.FencedPercent = 0 })
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitServed(second, vmCount)
	vm := r.Vms[0]
	order := hub.EngineOrder{Version: "old", Digest: r.first, Source: vm.Side.ContentURL(r.first)}
	assert.NilError(t, client.New(vm.settings.Upstream.Url).Load(t.Context(), order))
	r.await("engine did not carry out the obsolete order", func() bool { return len(vm.Engine.Observations().Loads) >= 3 })
	r.await("engine did not load the target version again", func() bool {
		loads := vm.Engine.Observations().Loads
		return len(loads) >= 4 && loads[len(loads)-1] == second && vm.Side.Member().ServingRoot == second
	})
	r.checkCompleteWeights()
}

// TestRollbackUsesCachedWeights returns to the previous version, which must not be fetched from the origin again.
func TestRollbackUsesCachedWeights(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitServed(second, vmCount)
	sent := r.Origin.BytesSent()
	r.serveVersion("first")
	r.awaitServed(r.first, vmCount)
	assert.Equal(t, r.Origin.BytesSent(), sent)
	r.checkCompleteWeights()
}

// TestSideRestartsWithEmptyMemory restarts a side process without its cached weights, first during the fetch and then
// when the engine serves the version. The rollout must complete, and the engine must not load weights again that it
// serves.
func TestSideRestartsWithEmptyMemory(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	vm := r.Vms[2]
	vm.Side.Kill()
	assert.NilError(t, r.StartSide(vm))
	r.awaitServed(second, vmCount)
	loads := len(vm.Engine.Observations().Loads)
	vm.Side.Kill()
	assert.NilError(t, r.StartSide(vm))
	r.awaitServed(second, vmCount)
	assert.Equal(t, len(vm.Engine.Observations().Loads), loads, "engine loaded weights again that it already served")
	r.checkCompleteWeights()
}

// TestStoreDownAfterThePin makes the store unavailable once the version is pinned. The rollout must complete without
// it.
func TestStoreDownAfterThePin(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second")
	r.await("version was not pinned", func() bool {
		p, ok := r.Entries[0].View().Target(r.options.Deployment.EngineGroup)
		return ok && p.Root == second
	})
	r.Store.SetDown(true)
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestVmsAddedDuringRollout adds half of the VMs while the others fetch the version. The new VMs must serve it too.
func TestVmsAddedDuringRollout(t *testing.T) {
	r := withTestRollout(t, func(o *Options) { o.Vms = vmCount / 2 })
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	for range vmCount - vmCount/2 {
		_, err := r.AddVm(r.options.Deployment.EngineGroup)
		assert.NilError(t, err)
	}
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestRegionPartitionDuringRollout separates one region from the other two for 2 s. Connections that were open before
// drop all traffic for good, so the rollout completes only if the side processes open new ones.
func TestRegionPartitionDuringRollout(t *testing.T) {
	r := withTestRollout(t, func(o *Options) { o.Network = network.Options{} })
	second := r.publish("second")
	r.serveVersion("second")
	r.awaitPartial(second)
	r.Network.Cut("delta", "canal")
	r.Network.Cut("upper", "canal")
	time.Sleep(2 * time.Second)
	r.Network.Heal("delta", "canal")
	r.Network.Heal("upper", "canal")
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}

// TestMemoryLimitKeepsTheOldVersion leaves too little memory in the side processes for a second version. The VMs must
// report that and keep serving the first version.
func TestMemoryLimitKeepsTheOldVersion(t *testing.T) {
	r := withTestRollout(t, func(o *Options) { o.MemoryLimit = versionBytes * 3 / 2 })
	r.publish("second")
	r.serveVersion("second")
	r.await("not every VM reports that the memory limit is reached", func() bool {
		for _, vm := range r.EngineVms() {
			if !strings.Contains(vm.Side.Member().Note, "memory limit reached") {
				return false
			}
		}
		return true
	})
	assert.Equal(t, r.Serving(r.first), vmCount)
	call(t, r.Harness, "POST", "/scaler-llm/v1/completions", "r-1", `{"Prompt":"x","Tokens":2}`)
	r.checkCompleteWeights()
}

// TestPauseHoldsTheRollout applies a Pause rule together with the new version. The VMs must fetch the version, but no
// engine may load it before the rule is removed.
func TestPauseHoldsTheRollout(t *testing.T) {
	r := withTestRollout(t, func(*Options) {})
	second := r.publish("second")
	r.serveVersion("second", "Pause scaler-llm # Amr: wrong grades")
	r.await("not every VM holds the version", func() bool { return r.Held(second) == vmCount })
	time.Sleep(time.Second)
	assert.Equal(t, r.Serving(second), 0)
	r.serveVersion("second")
	r.awaitServed(second, vmCount)
	r.checkCompleteWeights()
}
