package trial

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/load"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// defaultContentBytes is the size of the random content that is pushed if no file is given.
	defaultContentBytes = 4 << 20
	// maxMemoryBytes limits the memory for the content at all VMs together. Each VM holds copiesPerVm copies, one in
	// its side process and one at its engine.
	maxMemoryBytes = 6 << 30
	copiesPerVm    = 2
	// chunks is the number of chunks of the content.
	chunks = 64
	// originLinkCopies and vmLinkCopies are the numbers of copies of the content that the origin's link and each
	// VM's link can carry in the target time.
	originLinkCopies = 4
	vmLinkCopies     = 2

	// newVersion is the version that is pushed; engines start with version 1.
	newVersion = 2

	// defaultPhaseTime is the default of Options.PhaseTime.
	defaultPhaseTime = 4 * time.Second
	// rolloutTimeout is the maximum time from the push until all VMs serve the new version.
	rolloutTimeout = 8 * time.Minute
	// progressInterval is the interval between two progress checks during the push.
	progressInterval = 200 * time.Millisecond
	// startTimeout is the maximum time until all VMs serve the first version.
	startTimeout = time.Minute

	// Request rates per second: of streams for each VM, of at-most-once requests and of lookups in total.
	streamsPerVm     = 4.0
	oncePerSecond    = 8.0
	lookupsPerSecond = 8.0

	// plainVms is the number of upstreams of the plain service.
	plainVms = 3
	// entriesPerDomain is the number of entry processes in each failure domain.
	entriesPerDomain = 2
)

// Options configure a trial.
type Options struct {
	Deployment deployment.Deployment
	// File is the path of the content to push; empty means random content.
	File string
	// Vms is the number of VMs with an engine.
	Vms int
	// Target determines the bandwidths: in this time the origin's link can carry four copies of the content and each
	// VM's link two. It is also the time within which the new version must replace the old one.
	Target time.Duration
	// PhaseTime is the duration of each of the phases warm-up, before and after, in which requests are sent without
	// a push; 0 means the default.
	PhaseTime time.Duration
	// Faults are the faults that the stand-ins inject; nil means none.
	Faults  *standin.Faults
	Journal *journal.Journal
	// Progress is called regularly during the push; nil means never.
	Progress func(Progress)
}

// Progress is the state of a push.
type Progress struct {
	Elapsed time.Duration
	// Vms is the number of VMs, Holding and Serving are the numbers of those that hold and that serve the new version.
	Vms     int
	Holding int
	Serving int
	// Fetched is the mean fraction of the chunks that the VMs hold, 0 to 1.
	Fetched  float64
	Requests load.Counts
}

// trial is the state of a running trial.
type trial struct {
	options   Options
	content   []byte
	testbed   *testbed.Testbed
	generator *load.Generator
	summary   *Summary
	// heldAt and servingAt are the times since the push at which one more VM held and served the new version.
	heldAt    []time.Duration
	servingAt []time.Duration
}

// Run starts a deployment, pushes the content while requests are sent and returns the summary.
func Run(ctx context.Context, o Options) (*Summary, error) {
	o.PhaseTime = cmp.Or(o.PhaseTime, defaultPhaseTime)
	content, err := readContent(o.File)
	if err != nil {
		return nil, err
	}
	if needed := int64(len(content)) * copiesPerVm * int64(o.Vms); needed > maxMemoryBytes {
		return nil, fmt.Errorf("%d VMs would need %d bytes of memory for the content, the limit is %d: choose fewer VMs or a smaller file", o.Vms, needed, int64(maxMemoryBytes))
	}
	t := &trial{options: o, content: content, summary: &Summary{Deployment: o.Deployment.Name, Vms: o.Vms, Bytes: int64(len(content))}}
	if err := t.start(); err != nil {
		return nil, err
	}
	defer t.testbed.Stop()
	if err := t.pushWhileServing(ctx); err != nil {
		return nil, err
	}
	t.fillSummary()
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

// start starts the deployment, in which all engines hold a first version, and publishes the new version.
func (t *trial) start() error {
	o := &t.options
	size, seconds := float64(len(t.content)), o.Target.Seconds()
	b, err := testbed.Start(testbed.Options{
		Places:  o.Deployment.Places,
		Entries: entriesPerDomain * len(o.Deployment.Places),
		Engines: o.Vms,
		Plain:   plainVms,
		Site: standin.SiteOptions{
			Shape: standin.ShapeOf(len(t.content), chunks), OriginBytesPerSecond: originLinkCopies * size / seconds, Faults: o.Faults,
		},
		LinkBytesPerSecond: vmLinkCopies * size / seconds,
		Switch:             o.Target,
		Journal:            o.Journal,
	})
	if err != nil {
		return err
	}
	t.testbed = b
	b.Site.Origin.Publish(newVersion, t.content)
	return nil
}

func (t *trial) pushWhileServing(ctx context.Context) error {
	if err := t.testbed.AwaitServing(ctx, startTimeout); err != nil {
		return err
	}
	t.generator = load.New(load.Options{
		Caller:  testbed.NewCaller(),
		Targets: []string{t.testbed.Ingress.Address()},
		Seed:    1,
		Prefix:  "try",
		Classes: testbed.Classes(streamsPerVm*float64(t.options.Vms), oncePerSecond, lookupsPerSecond),
	}, "warm-up")
	t.generator.Start()
	defer t.generator.Stop()
	time.Sleep(t.options.PhaseTime)
	t.generator.BeginPhase("before")
	time.Sleep(t.options.PhaseTime)
	if err := t.push(ctx); err != nil {
		return err
	}
	t.generator.BeginPhase("after")
	time.Sleep(t.options.PhaseTime)
	return nil
}

// push sets the new version as the target and waits until every VM serves it.
func (t *trial) push(ctx context.Context) error {
	b := t.testbed
	sentBefore := b.Site.Origin.Sent()
	t.generator.BeginPhase("during")
	started := time.Now()
	b.Site.SetTargetVersion(newVersion)
	ctx, cancel := context.WithTimeoutCause(ctx, rolloutTimeout, errors.New("rollout timed out"))
	defer cancel()
	for !t.recordProgress(started) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("new version is served by %d of %d VMs: %w", b.Held(newVersion), t.options.Vms, context.Cause(ctx))
		case <-time.After(progressInterval):
		}
	}
	t.summary.OriginCopies = float64(b.Site.Origin.Sent()-sentBefore) / chunks
	return nil
}

// recordProgress records which VMs hold and serve the new version, calls Options.Progress and reports whether every
// VM serves it.
func (t *trial) recordProgress(started time.Time) bool {
	elapsed := time.Since(started)
	p := Progress{Elapsed: elapsed, Vms: t.options.Vms, Requests: t.generator.Total()}
	for _, vm := range t.testbed.Vms {
		held, total := vm.Side.Progress(newVersion)
		serving := vm.Engine.Held() == newVersion
		if serving {
			p.Serving++
		}
		if serving || total > 0 && held == total {
			p.Holding++
			p.Fetched++
		} else if total > 0 {
			p.Fetched += float64(held) / float64(total)
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
