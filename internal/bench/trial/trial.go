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
	// defaultContentBytes is the size of the content that is made where no file is given.
	defaultContentBytes = 4 << 20
	// maxHeldBytes bounds what all VMs together hold in memory: each keeps the content twice, in its side process
	// and beside its engine.
	maxHeldBytes = 6 << 30
	heldCopies   = 2
	chunks       = 64
	// originCopies and vmCopies are how many copies the links carry in the target time.
	originCopies = 4
	vmCopies     = 2

	newVersion = 2

	// defaultQuiet is the time of steady requests before and after the push.
	defaultQuiet = 4 * time.Second
	// rolloutLimit bounds a rollout.
	rolloutLimit = 8 * time.Minute
	progressPoll = 200 * time.Millisecond
	startLimit   = time.Minute

	streamsPerVm  = 4.0
	oncePerSecond = 8.0
	lookupsPerSec = 8.0
	plainVms      = 3
	entriesEach   = 2
)

// Options choose a trial.
type Options struct {
	Deployment deployment.Deployment
	// File is the content to push; content is made where it is empty.
	File string
	Vms  int
	// Target is the time in which the origin's link carries four copies and each VM's link two, and within which
	// the new version replaces the old one.
	Target time.Duration
	// Quiet is the time of steady requests before and after the push, 0 for the usual one.
	Quiet time.Duration
	// Faults are what goes wrong; nil for nothing.
	Faults   *standin.Faults
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
	testbed   *testbed.Testbed
	generator *load.Generator
	summary   *Summary
	heldAt    []time.Duration
	servingAt []time.Duration
}

// Run pushes the content and returns the summary.
func Run(ctx context.Context, o Options) (*Summary, error) {
	o.Quiet = cmp.Or(o.Quiet, defaultQuiet)
	content, err := readContent(o.File)
	if err != nil {
		return nil, err
	}
	if held := int64(len(content)) * heldCopies * int64(o.Vms); held > maxHeldBytes {
		return nil, fmt.Errorf("%d VMs would hold %d bytes in memory, the limit is %d: choose fewer VMs or a smaller file", o.Vms, held, int64(maxHeldBytes))
	}
	t := &trial{options: o, content: content, summary: &Summary{Deployment: o.Deployment.Name, Vms: o.Vms, Bytes: int64(len(content))}}
	if err := t.start(); err != nil {
		return nil, err
	}
	defer t.testbed.Stop()
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

// start brings the system up with a first version everywhere.
func (t *trial) start() error {
	o := &t.options
	size, seconds := float64(len(t.content)), o.Target.Seconds()
	b, err := testbed.Start(testbed.Options{
		Places:  o.Deployment.Places,
		Entries: entriesEach * len(o.Deployment.Places),
		Engines: o.Vms,
		Plain:   plainVms,
		Site: standin.SiteOptions{
			Shape: standin.ShapeOf(len(t.content), chunks), OriginBytesPerSecond: originCopies * size / seconds, Faults: o.Faults,
		},
		LinkBytesPerSecond: vmCopies * size / seconds,
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
	if err := t.testbed.AwaitServing(ctx, startLimit); err != nil {
		return err
	}
	t.generator = load.New(load.Options{
		Caller:  testbed.NewCaller(),
		Targets: []string{t.testbed.Ingress.Address()},
		Seed:    1,
		Prefix:  "try",
		Classes: testbed.Classes(streamsPerVm*float64(t.options.Vms), oncePerSecond, lookupsPerSec),
	}, "warm-up")
	t.generator.Start()
	defer t.generator.Stop()
	time.Sleep(t.options.Quiet)
	t.generator.Enter("before")
	time.Sleep(t.options.Quiet)
	if err := t.push(ctx); err != nil {
		return err
	}
	t.generator.Enter("after")
	time.Sleep(t.options.Quiet)
	return nil
}

// push names the new version and waits until every VM serves it.
func (t *trial) push(ctx context.Context) error {
	b := t.testbed
	sentBefore := b.Site.Origin.Sent()
	t.generator.Enter("during")
	started := time.Now()
	b.Site.SetTargetVersion(newVersion)
	ctx, cancel := context.WithTimeoutCause(ctx, rolloutLimit, errors.New("rollout takes too long"))
	defer cancel()
	for !t.look(started) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("new version: %d of %d VMs serve it: %w", b.Held(newVersion), t.options.Vms, context.Cause(ctx))
		case <-time.After(progressPoll):
		}
	}
	t.summary.OriginCopies = float64(b.Site.Origin.Sent()-sentBefore) / chunks
	return nil
}

// look records the progress and reports whether every VM serves the new version.
func (t *trial) look(started time.Time) bool {
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
