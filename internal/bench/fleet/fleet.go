package fleet

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/harness"
	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/process/journal"
)

// Faults that a measurement may bring about.
const (
	FaultStoreSlow   = "store-slow"
	FaultStoreDown   = "store-down"
	FaultLostReplies = "lost-replies"
	FaultRestart     = "restart-10"
	FaultPartition   = "partition"
)

const (
	settleTime    = 10 * time.Second
	steadyTime    = 10 * time.Second
	spreadLimit   = time.Minute
	lookInterval  = 2 * time.Millisecond
	slowStore     = 300 * time.Millisecond
	partitionTime = 5 * time.Second
	restartPart   = 10
	mib           = 1 << 20
)

// Options choose a measurement.
type Options struct {
	Deployment deployment.Deployment
	// ChangesPerSecond is the rate of changes of the rules, Changes their number.
	ChangesPerSecond float64
	Changes          int
	Faults           []string
	Journal          *journal.Journal
}

// Result is one line of the measurement.
type Result struct {
	Daemons         int
	Faults          []string
	SecondsToAll50  float64
	SecondsToAll99  float64
	SecondsToAll100 float64
	// ControlBytesPerSecondPerDaemon is what a daemon sends while rules change, SteadyBytes while they don't.
	ControlBytesPerSecondPerDaemon float64
	SteadyBytesPerSecondPerDaemon  float64
	// CpuPercentPerDaemon and MemoryMbPerDaemon are parts of the whole process, experiment and stand-ins included.
	CpuPercentPerDaemon  float64
	MemoryMbPerDaemon    float64
	StoreWritesPerSecond float64
	StoreReadsPerSecond  float64
	StoreWatches         int
	Reverted             int
}

type run struct {
	options Options
	harness *harness.Harness
	// seen is the highest revision that each daemon was seen to have, by incarnation.
	seen     []uint64
	reverted int
	spreads  []time.Duration
	halves   []time.Duration
	most     []time.Duration
}

// Run measures one number of daemons.
func Run(ctx context.Context, o Options, daemons int) (Result, error) {
	before := memory()
	d := o.Deployment
	h, err := harness.Start(harness.Options{
		Deployment: d, ServiceVms: daemons - len(d.Places), Entries: len(d.Places), MaxConcurrent: 1, Journal: o.Journal,
		Network: network.Options{DomainDelay: d.DomainDelay, RegionDelay: d.RegionDelay, RegionPerSecond: d.RegionPerSecond},
	})
	if err != nil {
		return Result{}, err
	}
	defer h.Stop()
	r := &run{options: o, harness: h, seen: make([]uint64, len(h.Vms))}
	if _, err := r.change(ctx, 0); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	steady := r.sent()
	time.Sleep(steadyTime)
	steadyBytes := float64(r.sent()-steady) / steadyTime.Seconds() / float64(len(h.Vms))

	started, cpu, sent, counts := time.Now(), cpuTime(), r.sent(), h.Store.Counts()
	for i := 1; i <= o.Changes; i++ {
		due := started.Add(time.Duration(float64(i) / o.ChangesPerSecond * float64(time.Second)))
		r.inject(i)
		if err := r.measureChange(ctx, i); err != nil {
			return Result{}, err
		}
		time.Sleep(time.Until(due))
	}
	elapsed := time.Since(started).Seconds()
	after := h.Store.Counts()
	n := float64(len(h.Vms))
	return Result{
		Daemons: daemons, Faults: o.Faults,
		SecondsToAll50: slices.Max(r.halves).Seconds(), SecondsToAll99: slices.Max(r.most).Seconds(), SecondsToAll100: slices.Max(r.spreads).Seconds(),
		ControlBytesPerSecondPerDaemon: float64(r.sent()-sent) / elapsed / n,
		SteadyBytesPerSecondPerDaemon:  steadyBytes,
		CpuPercentPerDaemon:            100 * (cpuTime() - cpu).Seconds() / elapsed / float64(daemons),
		MemoryMbPerDaemon:              float64(memory()-before) / mib / float64(daemons),
		StoreWritesPerSecond:           float64(after.Writes-counts.Writes) / elapsed,
		StoreReadsPerSecond:            float64(after.Reads+after.Watches-counts.Reads-counts.Watches) / elapsed,
		StoreWatches:                   after.Waiting,
		Reverted:                       r.reverted,
	}, nil
}

// change writes the rules once more and returns their revision.
func (r *run) change(ctx context.Context, i int) (uint64, error) {
	text := r.options.Deployment.Rules("") + fmt.Sprintf("Share account-%d 2 # Hoda: change %d\n", i%7+2, i)
	if err := r.harness.Apply(ctx, text); err != nil {
		return 0, err
	}
	_, revision, err := r.harness.Ledger.Read(ctx)
	return revision, err
}

// measureChange makes a change and waits until every daemon has it in force.
func (r *run) measureChange(ctx context.Context, i int) error {
	started := time.Now()
	revision, err := r.change(ctx, i)
	if err != nil {
		return err
	}
	n := len(r.harness.Vms)
	var half, most time.Duration
	for {
		have := r.look(revision)
		elapsed := time.Since(started)
		if half == 0 && 2*have >= n {
			half = elapsed
		}
		if most == 0 && 100*have >= 99*n {
			most = elapsed
		}
		if have == n {
			r.halves, r.most, r.spreads = append(r.halves, half), append(r.most, most), append(r.spreads, elapsed)
			return nil
		}
		if elapsed > spreadLimit {
			return fmt.Errorf("change %d: %d of %d daemons have revision %d after %s", i, have, n, revision, spreadLimit)
		}
		time.Sleep(lookInterval)
	}
}

// look counts the daemons with a revision and those that went back.
func (r *run) look(revision uint64) int {
	have := 0
	for i, vm := range r.harness.Vms {
		now := vm.Side.RulesRevision()
		if now < r.seen[i] {
			r.reverted++
		}
		r.seen[i] = now
		if now >= revision {
			have++
		}
	}
	return have
}

// inject brings about the faults before the middle change.
func (r *run) inject(change int) {
	if change != (r.options.Changes+1)/2 {
		return
	}
	h := r.harness
	for _, fault := range r.options.Faults {
		switch fault {
		case FaultStoreSlow:
			h.Store.SetDelay(slowStore)
		case FaultLostReplies:
			h.Store.LoseReplies(2)
		case FaultStoreDown:
			h.Store.SetDown(true)
			time.Sleep(partitionTime)
			h.Store.SetDown(false)
		case FaultPartition:
			a, b := r.options.Deployment.Places[0].Region, r.options.Deployment.Places[1].Region
			h.Network.Cut(a, b)
			time.AfterFunc(partitionTime, func() { h.Network.Heal(a, b) })
		case FaultRestart:
			for i := 0; i < len(h.Vms); i += restartPart {
				h.Vms[i].Side.Kill()
				// A new incarnation knows nothing yet; that is not going back.
				r.seen[i] = 0
				_ = h.StartSide(h.Vms[i])
			}
		}
	}
}

func (r *run) sent() int64 {
	total := int64(0)
	for _, vm := range r.harness.Vms {
		total += vm.Node.Sent()
	}
	return total
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes in use after a collection.
func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
