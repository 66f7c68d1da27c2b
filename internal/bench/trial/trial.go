package trial

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/harness"
	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/standin/engine"
	"github.com/oriolehub/oriolehub/internal/weights/manifest"
)

const (
	// defaultContentBytes is the size of the content that is made where no file is given.
	defaultContentBytes = 16 << 20
	// firstContentBytes is the size of the version that is served before the push.
	firstContentBytes = 1 << 20
	// originCopies and vmCopies are how many copies the links carry in the target time.
	originCopies = 4
	vmCopies     = 2

	firstVersionTag = "first"
	newVersionTag   = "new"

	// quietTime is the time of steady requests before and after the push.
	quietTime = 4 * time.Second
	// rolloutLimit bounds a rollout.
	rolloutLimit = 8 * time.Minute
	progressPoll = 200 * time.Millisecond

	requestsPerVm  = 4.0
	oncePerSecond  = 8.0
	lookupsPerSec  = 8.0
	answerTokens   = 20
	engineCapacity = 8
)

// Options choose a trial.
type Options struct {
	Deployment deployment.Deployment
	// File is the content to push; content is made where it is empty.
	File string
	Vms  int
	// Target is the time in which the origin's link carries four copies and each VM's link two.
	Target   time.Duration
	Entries  int
	Journal  *journal.Journal
	Progress func(Progress)
}

// Progress is how far the push has come.
type Progress struct {
	Elapsed time.Duration
	Vms     int
	Holding int
	Serving int
	// Fetched is the mean part of the chunks that VMs hold, 0 to 1.
	Fetched  float64
	Requests load.Counts
}

// trial is the state of one run.
type trial struct {
	options   Options
	content   []byte
	harness   *harness.Harness
	generator *load.Generator
	summary   *Summary
	heldAt    []time.Duration
	servingAt []time.Duration
}

// Run pushes the content and returns the summary.
func Run(ctx context.Context, o Options) (*Summary, error) {
	content, err := readContent(o.File)
	if err != nil {
		return nil, err
	}
	t := &trial{options: o, content: content, summary: &Summary{Deployment: o.Deployment.Name, Vms: o.Vms, Bytes: int64(len(content))}}
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	defer t.harness.Stop()
	if err := t.pushWhileServing(ctx); err != nil {
		return nil, err
	}
	t.finish()
	return t.summary, nil
}

func readContent(file string) ([]byte, error) {
	if file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read file to push: %w", err)
		}
		if len(content) == 0 {
			return nil, fmt.Errorf("file to push %q is empty", file)
		}
		return content, nil
	}
	content := make([]byte, defaultContentBytes)
	_, _ = rand.Read(content)
	return content, nil
}

// start brings the system up and serves a first version everywhere.
func (t *trial) start(ctx context.Context) error {
	o := &t.options
	size := float64(len(t.content))
	seconds := o.Target.Seconds()
	h, err := harness.Start(harness.Options{
		Deployment:  o.Deployment,
		Vms:         o.Vms,
		OnceVms:     o.Deployment.OnceWorkers,
		Entries:     o.Entries,
		ShareChunks: true,
		Network: network.Options{
			VmPerSecond:     vmCopies * size / seconds,
			RegionPerSecond: max(o.Deployment.RegionPerSecond, vmCopies*size/seconds),
			DomainDelay:     o.Deployment.DomainDelay,
			RegionDelay:     o.Deployment.RegionDelay,
		},
		OriginPerSecond: originCopies * size / seconds,
		Engine: engine.Options{
			Capacity: engineCapacity, ColdCapacity: 2, WarmRequests: 20, TokenTime: 5 * time.Millisecond, ReportLag: time.Second,
		},
		FencedPercent:     50,
		MaxConcurrent:     engineCapacity,
		SlowStartRequests: 40,
		Journal:           o.Journal,
	})
	if err != nil {
		return err
	}
	t.harness = h
	if err := t.serveFirst(ctx); err != nil {
		h.Stop()
		return err
	}
	return nil
}

func (t *trial) serveFirst(ctx context.Context) error {
	d := &t.options.Deployment
	first := make([]byte, firstContentBytes)
	_, _ = rand.Read(first)
	version := d.Version(firstVersionTag)
	m, err := t.harness.Origin.Publish(version, first, 0)
	if err != nil {
		return err
	}
	if err := t.harness.Apply(ctx, d.Rules(version)); err != nil {
		return err
	}
	err = harness.Await(ctx, rolloutLimit, func() bool { return t.harness.Serving(m.Root) == t.options.Vms })
	if err != nil {
		return fmt.Errorf("first version: %d of %d VMs serve it: %w", t.harness.Serving(m.Root), t.options.Vms, err)
	}
	return nil
}

func (t *trial) pushWhileServing(ctx context.Context) error {
	d := &t.options.Deployment
	h := t.harness
	var targets []string
	for _, e := range h.Entries {
		targets = append(targets, "http://"+e.HttpAddress())
	}
	t.generator = load.New(load.Options{
		Targets:  targets,
		Accounts: d.Accounts,
		Seed:     1,
		Prefix:   "try",
		Classes: []load.Class{
			{Name: "completion", Method: "POST", Path: "/" + d.EngineGroup + "/v1/completions", Tokens: answerTokens, PerSecond: requestsPerVm * float64(t.options.Vms)},
			{Name: "once", Method: "POST", Path: "/" + d.OnceGroup + d.OnceTarget, Once: true, PerSecond: oncePerSecond},
			{Name: "lookup", Method: "GET", Path: "/" + d.OnceGroup + d.LookupTarget, PerSecond: lookupsPerSec},
		},
	}, "warm-up")
	t.generator.Start()
	defer t.generator.Stop()
	time.Sleep(quietTime)
	t.generator.Enter("before")
	time.Sleep(quietTime)
	if err := t.push(ctx); err != nil {
		return err
	}
	t.generator.Enter("after")
	time.Sleep(quietTime)
	return nil
}

// push publishes the content, names it in the rules and waits until every VM serves it.
func (t *trial) push(ctx context.Context) error {
	d := &t.options.Deployment
	h := t.harness
	version := d.Version(newVersionTag)
	m, err := h.Origin.Publish(version, t.content, manifest.DefaultChunkBytes(int64(len(t.content))))
	if err != nil {
		return err
	}
	t.summary.Root = m.Root
	sentBefore := h.Origin.BytesSent()
	linksBefore := h.Network.Links()
	t.generator.Enter("during")
	started := time.Now()
	if err := h.Apply(ctx, d.Rules(version)); err != nil {
		return err
	}
	err = harness.Await(ctx, rolloutLimit, func() bool { return t.look(started, m.Root) })
	if err != nil {
		return fmt.Errorf("new version: %d of %d VMs serve it: %w", h.Serving(m.Root), t.options.Vms, err)
	}
	size := float64(len(t.content))
	t.summary.OriginCopies = float64(h.Origin.BytesSent()-sentBefore) / size
	for link, bytes := range h.Network.Links() {
		copies := float64(bytes-linksBefore[link]) / size
		t.summary.RegionLinks = append(t.summary.RegionLinks, LinkCopies{From: link[0], To: link[1], Copies: copies})
	}
	return nil
}

// look records the progress and reports whether every VM serves the new version.
func (t *trial) look(started time.Time, root string) bool {
	elapsed := time.Since(started)
	p := Progress{Elapsed: elapsed, Vms: t.options.Vms, Requests: t.generator.Total()}
	for _, vm := range t.harness.EngineVms() {
		m := vm.Side.Member()
		switch {
		case m.ServingRoot == root:
			p.Serving++
			p.Holding++
			p.Fetched++
		case m.HeldRoot == root:
			p.Holding++
			p.Fetched++
		case m.FetchingRoot == root && m.ChunksTotal > 0:
			p.Fetched += float64(m.ChunksHeld) / float64(m.ChunksTotal)
		}
	}
	p.Fetched /= float64(t.options.Vms)
	for len(t.heldAt) < p.Holding {
		t.heldAt = append(t.heldAt, elapsed)
	}
	for len(t.servingAt) < p.Serving {
		t.servingAt = append(t.servingAt, elapsed)
	}
	if t.options.Progress != nil {
		t.options.Progress(p)
	}
	return p.Serving == t.options.Vms
}
