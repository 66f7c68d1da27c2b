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

// Faults that a measurement can inject, as named in Options.Faults.
const (
	// FaultStoreSlow delays each response of the store until the end of the measurement.
	FaultStoreSlow = "store-slow"
	// FaultStoreDown makes the store unavailable for outageTime before the change.
	FaultStoreDown = "store-down"
	// FaultLostReplies drops the replies of two writes that take effect in the store.
	FaultLostReplies = "lost-replies"
	// FaultRestart kills and restarts every tenth side process.
	FaultRestart = "restart-10"
	// FaultPartition interrupts the network between two regions for outageTime.
	FaultPartition = "partition"
)

const (
	// settleTime is the time between the start and the measurement, steadyTime the time in which the traffic without
	// changes is measured.
	settleTime = 10 * time.Second
	steadyTime = 10 * time.Second
	// spreadTimeout is the maximum time until a change is in force everywhere, pollInterval the interval between two
	// checks.
	spreadTimeout = time.Minute
	pollInterval  = 2 * time.Millisecond
	// slowStoreDelay is the delay of each response of the store with FaultStoreSlow.
	slowStoreDelay = 300 * time.Millisecond
	// outageTime is the duration of FaultStoreDown and of FaultPartition.
	outageTime = 5 * time.Second
	// FaultRestart restarts one in restartEvery side processes.
	restartEvery = 10

	mib = 1 << 20
)

// Options configure a measurement.
type Options struct {
	Deployment deployment.Deployment
	// ChangesPerSecond is the rate of rule changes, Changes their number.
	ChangesPerSecond float64
	Changes          int
	// Faults are the faults that are injected before the change in the middle.
	Faults  []string
	Journal *journal.Journal
}

// Result holds the figures measured with one number of daemons.
type Result struct {
	// Daemons is the number of entry and side processes.
	Daemons int
	Faults  []string
	// SecondsToAll50, SecondsToAll99 and SecondsToAll100 are the times until a change was in force in these
	// percentages of the side processes, each the maximum over all changes.
	SecondsToAll50  float64
	SecondsToAll99  float64
	SecondsToAll100 float64
	// ControlBytesPerSecondPerDaemon is the mean traffic that a side process sends while rules change,
	// SteadyBytesPerSecondPerDaemon that while they do not change.
	ControlBytesPerSecondPerDaemon float64
	SteadyBytesPerSecondPerDaemon  float64
	// CpuPercentPerDaemon, in percent of one CPU, and MemoryMbPerDaemon, in MiB, are the usage of the whole process
	// divided by Daemons. The process includes the experiment and the stand-ins.
	CpuPercentPerDaemon float64
	MemoryMbPerDaemon   float64
	// StoreReadsPerSecond includes watches, StoreWatches is the number of watches in progress at the end.
	StoreWritesPerSecond float64
	StoreReadsPerSecond  float64
	StoreWatches         int
	// Reverted counts the times that a side process was found with an older revision than before.
	Reverted int
}

// run is the state of a measurement with one number of daemons.
type run struct {
	options Options
	harness *harness.Harness
	// lastRevisions holds the last observed rules revision of each side process, 0 after its restart.
	lastRevisions []uint64
	reverted      int
	// times50, times99 and times100 hold, for each change, the time until it was in force in 50, 99 and 100 % of the
	// side processes.
	times100 []time.Duration
	times50  []time.Duration
	times99  []time.Duration
}

// Run measures with the given number of daemons, of which one for each failure domain is an entry process.
func Run(ctx context.Context, o Options, daemons int) (Result, error) {
	memoryBefore := memoryInUse()
	d := o.Deployment
	h, err := harness.Start(harness.Options{
		Deployment: d, ServiceVms: daemons - len(d.Places), Entries: len(d.Places), MaxConcurrent: 1, Journal: o.Journal,
		Network: network.Options{DomainDelay: d.DomainDelay, RegionDelay: d.RegionDelay, RegionPerSecond: d.RegionPerSecond},
	})
	if err != nil {
		return Result{}, err
	}
	defer h.Stop()
	r := &run{options: o, harness: h, lastRevisions: make([]uint64, len(h.Vms))}
	if _, err := r.applyChange(ctx, 0); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	steadyBefore := r.bytesSent()
	time.Sleep(steadyTime)
	steadyBytes := float64(r.bytesSent()-steadyBefore) / steadyTime.Seconds() / float64(len(h.Vms))

	started, cpuBefore, sentBefore, countsBefore := time.Now(), cpuTime(), r.bytesSent(), h.Store.Counts()
	for i := 1; i <= o.Changes; i++ {
		due := started.Add(time.Duration(float64(i) / o.ChangesPerSecond * float64(time.Second)))
		r.injectFaults(i)
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
		SecondsToAll50: slices.Max(r.times50).Seconds(), SecondsToAll99: slices.Max(r.times99).Seconds(), SecondsToAll100: slices.Max(r.times100).Seconds(),
		ControlBytesPerSecondPerDaemon: float64(r.bytesSent()-sentBefore) / elapsed / n,
		SteadyBytesPerSecondPerDaemon:  steadyBytes,
		CpuPercentPerDaemon:            100 * (cpuTime() - cpuBefore).Seconds() / elapsed / float64(daemons),
		MemoryMbPerDaemon:              float64(memoryInUse()-memoryBefore) / mib / float64(daemons),
		StoreWritesPerSecond:           float64(after.Writes-countsBefore.Writes) / elapsed,
		StoreReadsPerSecond:            float64(after.Reads+after.Watches-countsBefore.Reads-countsBefore.Watches) / elapsed,
		StoreWatches:                   after.Waiting,
		Reverted:                       r.reverted,
	}, nil
}

// applyChange writes rules that differ from the current ones by a client account's share, and returns their revision.
func (r *run) applyChange(ctx context.Context, i int) (uint64, error) {
	rules := r.options.Deployment.Rules("") + fmt.Sprintf("Share account-%d 2 # Hoda: change %d\n", i%7+2, i)
	if err := r.harness.Apply(ctx, rules); err != nil {
		return 0, err
	}
	_, revision, err := r.harness.Ledger.Read(ctx)
	return revision, err
}

// measureChange makes a change and waits until it is in force in every side process.
func (r *run) measureChange(ctx context.Context, i int) error {
	started := time.Now()
	revision, err := r.applyChange(ctx, i)
	if err != nil {
		return err
	}
	n := len(r.harness.Vms)
	var time50, time99 time.Duration
	for {
		updated := r.countUpdated(revision)
		elapsed := time.Since(started)
		if time50 == 0 && 2*updated >= n {
			time50 = elapsed
		}
		if time99 == 0 && 100*updated >= 99*n {
			time99 = elapsed
		}
		if updated == n {
			r.times50, r.times99, r.times100 = append(r.times50, time50), append(r.times99, time99), append(r.times100, elapsed)
			return nil
		}
		if elapsed > spreadTimeout {
			return fmt.Errorf("change %d: %d of %d side processes have rules revision %d after %s", i, updated, n, revision, spreadTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// countUpdated returns the number of side processes with at least the given revision and counts those whose revision
// decreased in reverted.
func (r *run) countUpdated(revision uint64) int {
	updated := 0
	for i, vm := range r.harness.Vms {
		now := vm.Side.RulesRevision()
		if now < r.lastRevisions[i] {
			r.reverted++
		}
		r.lastRevisions[i] = now
		if now >= revision {
			updated++
		}
	}
	return updated
}

// injectFaults injects the faults if change is the one in the middle.
func (r *run) injectFaults(change int) {
	if change != (r.options.Changes+1)/2 {
		return
	}
	h := r.harness
	for _, fault := range r.options.Faults {
		switch fault {
		case FaultStoreSlow:
			h.Store.SetDelay(slowStoreDelay)
		case FaultLostReplies:
			h.Store.LoseReplies(2)
		case FaultStoreDown:
			h.Store.SetDown(true)
			time.Sleep(outageTime)
			h.Store.SetDown(false)
		case FaultPartition:
			a, b := r.options.Deployment.Places[0].Region, r.options.Deployment.Places[1].Region
			h.Network.Cut(a, b)
			time.AfterFunc(outageTime, func() { h.Network.Heal(a, b) })
		case FaultRestart:
			for i := 0; i < len(h.Vms); i += restartEvery {
				h.Vms[i].Side.Kill()
				// A restarted process has no rules at first, which must not count as reverted.
				r.lastRevisions[i] = 0
				_ = h.StartSide(h.Vms[i])
			}
		}
	}
}

// bytesSent returns the total of the bytes that the VMs of the side processes have sent so far.
func (r *run) bytesSent() int64 {
	total := int64(0)
	for _, vm := range r.harness.Vms {
		total += vm.Node.Sent()
	}
	return total
}

// cpuTime returns the CPU time that this process has used, 0 if it cannot be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
