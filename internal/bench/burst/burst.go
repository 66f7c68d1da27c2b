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
	// originCopies and vmCopies are how many copies the links carry in the target time.
	originCopies = 4
	vmCopies     = 2

	firstContentBytes = 256 << 10
	quietTime         = 5 * time.Second
	warmTime          = 6 * time.Second
	limitFactor       = 20

	engineCapacity = 8
	answerTokens   = 20
	tokenTime      = 10 * time.Millisecond

	// Faults of a burst, in percent of the VMs or of the chunks.
	deadPercent    = 5
	stalledPercent = 5
	corruptPercent = 1
)

// Options choose a measurement.
type Options struct {
	Deployment deployment.Deployment
	Regions    int
	SizeBytes  int64
	// Target is the time in which the origin's link carries four copies and each VM's link two.
	Target time.Duration
	// RequestsPerVm is the rate of live requests for each VM, a second.
	RequestsPerVm float64
	Faults        bool
	Seed          uint64
	Journal       *journal.Journal
}

// Result is one line of the measurement.
type Result struct {
	Vms          int
	Strategy     string
	Faults       bool
	Seconds50    float64
	Seconds90    float64
	Seconds100   float64
	BoundSeconds float64
	Ratio        float64
	OriginCopies float64
	// MaxRegionLinkCopies is the most that came into one region over all its links.
	MaxRegionLinkCopies float64
	MaxVmUploadCopies   float64
	ControlBytesPerVm   float64
	WrongDigests        int
	P95BeforeMs         float64
	P95DuringMs         float64
	Requests            load.Counts
}

// run is the state of one size.
type run struct {
	options   Options
	vms       int
	strategy  string
	content   []byte
	links     Links
	harness   *harness.Harness
	generator *load.Generator
	faults    []*harness.ChunkFaults
	dead      map[int]bool
	rng       *rand.Rand
	heldAt    map[int]time.Duration
}

// Run measures one size with one strategy.
func Run(ctx context.Context, o Options, vms int, strategy string) (Result, error) {
	r := &run{
		options: o, vms: vms, strategy: strategy, dead: map[int]bool{}, heldAt: map[int]time.Duration{},
		rng:     rand.New(rand.NewPCG(o.Seed, uint64(vms))),
		content: make([]byte, o.SizeBytes),
		faults:  make([]*harness.ChunkFaults, vms),
	}
	fill(r.rng, r.content)
	size, seconds := float64(o.SizeBytes), o.Target.Seconds()
	r.links = Links{Origin: originCopies * size / seconds, Vm: vmCopies * size / seconds, Region: o.Deployment.RegionPerSecond}
	way, err := topology.Named(strategy)
	if err != nil {
		return Result{}, err
	}
	if err := r.start(ctx, way); err != nil {
		return Result{}, err
	}
	defer r.harness.Stop()
	return r.measure(ctx)
}

func fill(rng *rand.Rand, out []byte) {
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
}

func (r *run) start(ctx context.Context, way hub.Topology) error {
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
		Topology:          way,
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
	if err := r.serveFirst(ctx); err != nil {
		h.Stop()
		return err
	}
	return nil
}

// serveFirst brings a small first version into service everywhere.
func (r *run) serveFirst(ctx context.Context) error {
	first := make([]byte, firstContentBytes)
	fill(r.rng, first)
	version := r.options.Deployment.Version("first")
	m, err := r.harness.Origin.Publish(version, first, manifest.MinChunkBytes*4)
	if err != nil {
		return err
	}
	r.harness.Origin.LimitLink(0x1p40)
	defer r.harness.Origin.LimitLink(r.links.Origin)
	if err := r.harness.Apply(ctx, r.options.Deployment.Rules(version)); err != nil {
		return err
	}
	const firstLimit = 3 * time.Minute
	if err := harness.Await(ctx, firstLimit, func() bool { return r.harness.Serving(m.Root) == r.vms }); err != nil {
		return fmt.Errorf("first version at %d of %d VMs: %w", r.harness.Serving(m.Root), r.vms, err)
	}
	return nil
}

func (r *run) measure(ctx context.Context) (Result, error) {
	r.startLoad()
	defer r.generator.Stop()
	time.Sleep(warmTime)
	before := r.generator.Enter("before")
	time.Sleep(quietTime)
	during := r.generator.Enter("during")

	h := r.harness
	version := r.options.Deployment.Version("new")
	m, err := h.Origin.Publish(version, r.content, 0)
	if err != nil {
		return Result{}, err
	}
	r.injectFaults()
	sentBefore, linksBefore, vmsBefore := h.Origin.BytesSent(), h.Network.Links(), r.nodesSent()
	started := time.Now()
	if err := h.Apply(ctx, r.options.Deployment.Rules(version)); err != nil {
		return Result{}, err
	}
	limit := time.Duration(limitFactor) * r.options.Target
	err = harness.Await(ctx, limit, func() bool { return r.look(started, m.Root) })
	if err != nil {
		return Result{}, fmt.Errorf("%d of %d VMs hold the new version: %w", len(r.heldAt), r.vms-len(r.dead), err)
	}
	size := float64(len(r.content))
	bound := Bound(r.links, size, r.vms, len(r.options.Deployment.Places))
	result := Result{
		Vms: r.vms, Strategy: r.strategy, Faults: r.options.Faults, BoundSeconds: bound,
		Seconds50: r.part(50), Seconds90: r.part(90), Seconds100: r.part(100),
		OriginCopies:        float64(h.Origin.BytesSent()-sentBefore) / size,
		MaxRegionLinkCopies: r.maxRegion(linksBefore) / size,
		P95BeforeMs:         millis(before.Quantile(95)),
		P95DuringMs:         millis(during.Quantile(95)),
	}
	result.Ratio = result.Seconds100 / bound
	r.countNodes(&result, vmsBefore, size)
	result.WrongDigests = r.wrongDigests(m.Root)
	result.Requests = r.generator.Total()
	return result, nil
}

func (r *run) startLoad() {
	d := &r.options.Deployment
	var targets []string
	for _, e := range r.harness.Entries {
		targets = append(targets, "http://"+e.HttpAddress())
	}
	r.generator = load.New(load.Options{
		Targets: targets, Accounts: d.Accounts, Seed: r.options.Seed, Prefix: "burst",
		Classes: []load.Class{{
			Name: "completion", Method: "POST", Path: "/" + d.EngineGroup + "/v1/completions", Tokens: answerTokens,
			PerSecond: r.options.RequestsPerVm * float64(r.vms),
		}},
	}, "warm-up")
	r.generator.Start()
}

// injectFaults chooses the VMs that die and stall and the chunks that are corrupted.
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

// look records which VMs hold the version and reports whether all living ones do.
func (r *run) look(started time.Time, root string) bool {
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
