package burst

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/harness"
	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
	"github.com/oriolehub/oriolehub/internal/weights/topology"
	"github.com/oriolehub/oriolehub/internal/wire/message"
)

const (
	// originLinkCopies and vmLinkCopies are the numbers of copies of the content that the origin's link and each
	// VM's link can carry in the target time.
	originLinkCopies = 4
	vmLinkCopies     = 2

	// initialContentBytes is the size of the version that is in service before the measurement.
	initialContentBytes = 256 << 10
	// baselineTime is the duration of the phase in which latency is measured before the burst.
	baselineTime = 5 * time.Second
	// warmUpTime is the time for which live requests are sent before the baseline phase.
	warmUpTime = 6 * time.Second
	// timeoutFactor is the ratio of the maximum duration of a burst to the target time.
	timeoutFactor = 20

	// engineCapacity is the number of concurrent requests at an engine, completionTokens the length of a completion
	// and tokenTime the generation time of one token.
	engineCapacity   = 8
	completionTokens = 20
	tokenTime        = 10 * time.Millisecond

	// Injected faults: dead and stalled VMs in percent of all VMs, and corrupt chunks in percent of the chunks that
	// each other VM could send.
	deadPercent    = 5
	stalledPercent = 5
	corruptPercent = 1
)

// Options configure a measurement.
type Options struct {
	Deployment deployment.Deployment
	// Regions is the number of regions of the deployment that are used.
	Regions int
	// SizeBytes is the size of the content.
	SizeBytes int64
	// Target determines the bandwidths: in this time the origin's link can carry four copies of the content and each
	// VM's link two.
	Target time.Duration
	// RequestsPerVm is the rate of live requests for each VM, in requests per second.
	RequestsPerVm float64
	// Faults enables the injected faults: VMs that die or stall, and corrupt chunks.
	Faults bool
	// Seed determines the content, the arrivals of requests and the faults.
	Seed    uint64
	Journal *journal.Journal
}

// Result holds the figures measured with one number of VMs and one strategy.
type Result struct {
	Vms      int
	Strategy string
	Faults   bool
	// Seconds50, Seconds90 and Seconds100 are the times until these percentages of the living VMs held the version.
	Seconds50  float64
	Seconds90  float64
	Seconds100 float64
	// BoundSeconds is the lower bound of the time, Ratio the ratio of Seconds100 to it.
	BoundSeconds float64
	Ratio        float64
	// OriginCopies is the amount of data that the origin sent, in copies of the content.
	OriginCopies float64
	// MaxRegionLinkCopies is the largest amount of data that entered one region over all its links, in copies of the
	// content.
	MaxRegionLinkCopies float64
	// MaxVmUploadCopies is the largest amount of chunk data that one VM sent, in copies of the content.
	MaxVmUploadCopies float64
	// ControlBytesPerVm is the mean number of bytes that a VM sent other than chunks.
	ControlBytesPerVm float64
	// WrongDigests counts the responses that were given with incomplete or changing weights, and the loads of weights
	// other than the new version, not including the initial load of each engine.
	WrongDigests int
	// P95BeforeMs and P95DuringMs are the 95th percentiles of the latency before and during the burst.
	P95BeforeMs float64
	P95DuringMs float64
	Requests    load.Counts
}

// run is the state of a measurement with one number of VMs and one strategy.
type run struct {
	options   Options
	vms       int
	strategy  string
	content   []byte
	links     Links
	harness   *harness.Harness
	generator *load.Generator
	faults    []*harness.ChunkFaults
	// dead holds the indexes of the VMs that injectFaults has chosen to die.
	dead map[int]bool
	rng  *rand.Rand
	// heldAt holds, by index of a living VM, the time from the start of the burst until it held the version.
	heldAt map[int]time.Duration
}

// Run measures a burst to vms VMs with one strategy, a name that topology.Named accepts.
func Run(ctx context.Context, o Options, vms int, strategy string) (Result, error) {
	r := &run{
		options: o, vms: vms, strategy: strategy, dead: map[int]bool{}, heldAt: map[int]time.Duration{},
		rng:     rand.New(rand.NewPCG(o.Seed, uint64(vms))),
		content: make([]byte, o.SizeBytes),
		faults:  make([]*harness.ChunkFaults, vms),
	}
	fillRandom(r.rng, r.content)
	size, seconds := float64(o.SizeBytes), o.Target.Seconds()
	r.links = Links{Origin: originLinkCopies * size / seconds, Vm: vmLinkCopies * size / seconds, Region: o.Deployment.RegionPerSecond}
	topo, err := topology.Named(strategy)
	if err != nil {
		return Result{}, err
	}
	if err := r.start(ctx, topo); err != nil {
		return Result{}, err
	}
	defer r.harness.Stop()
	return r.measure(ctx)
}

func fillRandom(rng *rand.Rand, out []byte) {
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
}

// start starts the deployment with the initial version in service.
func (r *run) start(ctx context.Context, topo hub.Topology) error {
	o := &r.options
	d := o.Deployment
	d.Places = d.Places[:min(o.Regions, len(d.Places))]
	for i := range r.faults {
		r.faults[i] = &harness.ChunkFaults{}
	}
	h, err := harness.Start(harness.Options{
		Deployment:  d,
		Vms:         r.vms,
		Entries:     len(d.Places),
		ShareChunks: true,
		Network: network.Options{
			VmPerSecond: r.links.Vm, RegionPerSecond: r.links.Region, DomainDelay: d.DomainDelay, RegionDelay: d.RegionDelay,
		},
		OriginPerSecond:   r.links.Origin,
		Engine:            engine.Options{Capacity: engineCapacity, ColdCapacity: 2, WarmRequests: 10, TokenTime: tokenTime, ReportLag: time.Second},
		FencedPercent:     50,
		MaxConcurrent:     engineCapacity,
		SlowStartRequests: 20,
		StartConcurrent:   2,
		Topology:          topo,
		Journal:           o.Journal,
		WrapWeights: func(vm int, s message.DRPCWeightsServer) message.DRPCWeightsServer {
			return r.faults[vm].Wrap(s)
		},
	})
	if err != nil {
		return err
	}
	r.harness = h
	r.options.Deployment = d
	if err := r.serveInitialVersion(ctx); err != nil {
		h.Stop()
		return err
	}
	return nil
}

// serveInitialVersion puts a small version into service on all VMs.
func (r *run) serveInitialVersion(ctx context.Context) error {
	initial := make([]byte, initialContentBytes)
	fillRandom(r.rng, initial)
	version := r.options.Deployment.Version("first")
	m, err := r.harness.Origin.Publish(version, initial, manifest.MinChunkBytes*4)
	if err != nil {
		return err
	}
	// The origin's link is practically unlimited while the initial version is fetched.
	r.harness.Origin.LimitLink(0x1p40)
	defer r.harness.Origin.LimitLink(r.links.Origin)
	if err := r.harness.Apply(ctx, r.options.Deployment.Rules(version)); err != nil {
		return err
	}
	const initialTimeout = 3 * time.Minute
	if err := harness.Await(ctx, initialTimeout, func() bool { return r.harness.Serving(m.Root) == r.vms }); err != nil {
		return fmt.Errorf("initial version is served by %d of %d VMs: %w", r.harness.Serving(m.Root), r.vms, err)
	}
	return nil
}

// measure publishes the new version under load and returns the figures of the burst.
func (r *run) measure(ctx context.Context) (Result, error) {
	r.startLoad()
	defer r.generator.Stop()
	time.Sleep(warmUpTime)
	before := r.generator.BeginPhase("before")
	time.Sleep(baselineTime)
	during := r.generator.BeginPhase("during")

	h := r.harness
	version := r.options.Deployment.Version("new")
	m, err := h.Origin.Publish(version, r.content, 0)
	if err != nil {
		return Result{}, err
	}
	r.injectFaults()
	sentBefore, linksBefore, vmsBefore := h.Origin.BytesSent(), h.Network.Links(), r.vmBytesSent()
	started := time.Now()
	if err := h.Apply(ctx, r.options.Deployment.Rules(version)); err != nil {
		return Result{}, err
	}
	timeout := time.Duration(timeoutFactor) * r.options.Target
	err = harness.Await(ctx, timeout, func() bool { return r.recordHeld(started, m.Root) })
	if err != nil {
		return Result{}, fmt.Errorf("%d of %d VMs hold the new version: %w", len(r.heldAt), r.vms-len(r.dead), err)
	}
	size := float64(len(r.content))
	bound := Bound(r.links, size, r.vms, len(r.options.Deployment.Places))
	result := Result{
		Vms: r.vms, Strategy: r.strategy, Faults: r.options.Faults, BoundSeconds: bound,
		Seconds50: r.secondsUntil(50), Seconds90: r.secondsUntil(90), Seconds100: r.secondsUntil(100),
		OriginCopies:        float64(h.Origin.BytesSent()-sentBefore) / size,
		MaxRegionLinkCopies: r.maxBytesIntoRegion(linksBefore) / size,
		P95BeforeMs:         millis(before.Quantile(95)),
		P95DuringMs:         millis(during.Quantile(95)),
	}
	result.Ratio = result.Seconds100 / bound
	r.addVmTraffic(&result, vmsBefore, size)
	result.WrongDigests = r.wrongDigests(m.Root)
	result.Requests = r.generator.Total()
	return result, nil
}

// startLoad starts the live requests.
func (r *run) startLoad() {
	d := &r.options.Deployment
	var targets []string
	for _, e := range r.harness.Entries {
		targets = append(targets, "http://"+e.HttpAddress())
	}
	r.generator = load.New(load.Options{
		Targets: targets, Accounts: d.Accounts, Seed: r.options.Seed, Prefix: "burst",
		Classes: []load.Class{{
			Name: "completion", Method: "POST", Path: "/" + d.EngineGroup + "/v1/completions", Tokens: completionTokens,
			PerSecond: r.options.RequestsPerVm * float64(r.vms),
		}},
	}, "warm-up")
	r.generator.Start()
}

// injectFaults chooses the VMs that die or stall, each at a random time in the first half of the target time, and
// makes the remaining VMs send some corrupt chunks.
func (r *run) injectFaults() {
	if !r.options.Faults {
		return
	}
	order := r.rng.Perm(r.vms)
	dead := r.vms * deadPercent / 100
	stalled := r.vms * stalledPercent / 100
	chunks := int64(len(r.content) / manifest.DefaultChunkBytes(int64(len(r.content))))
	for i, vm := range order {
		switch {
		case i < dead:
			r.dead[vm] = true
			delay := time.Duration(r.rng.Float64() * float64(r.options.Target) / 2)
			time.AfterFunc(delay, func() { r.harness.KillVm(r.harness.Vms[vm]) })
		case i < dead+stalled:
			delay := time.Duration(r.rng.Float64() * float64(r.options.Target) / 2)
			time.AfterFunc(delay, func() { r.faults[vm].Stalled.Store(true) })
		default:
			r.faults[vm].Corrupt.Store(max(1, chunks*corruptPercent/100))
		}
	}
}

// recordHeld records the VMs that have come to hold the version and reports whether all living VMs hold it.
func (r *run) recordHeld(started time.Time, root string) bool {
	elapsed := time.Since(started)
	for i, vm := range r.harness.EngineVms() {
		if _, ok := r.heldAt[i]; ok || r.dead[i] {
			continue
		}
		m := vm.Side.Member()
		if m.HeldRoot == root || m.ServingRoot == root {
			r.heldAt[i] = elapsed
		}
	}
	return len(r.heldAt) == r.vms-len(r.dead)
}
