package main

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/proxy"
	"github.com/oriolehub/oriolehub/platform/standin"
)

var furtherTime = flag.Duration("changes.further", 2500*time.Millisecond, "time for which each case of TestRequestsBesideFurtherChangesEnd sends requests")

const (
	// withdrawnShare is the share of the API keys that a configuration does not hold, limitedShare that of the configurations with a
	// lower limit of bodies.
	withdrawnShare = 0.15
	limitedShare   = 0.3
	// minLoading and maxLoading limit the time that engines have for a version before the next one is named.
	minLoading = 2 * time.Second
	maxLoading = 4 * time.Second
	// minEvacuated and maxEvacuated limit the time for which a failure domain is evacuated.
	minEvacuated = 300 * time.Millisecond
	maxEvacuated = 1500 * time.Millisecond
	// minSilence and maxSilence limit the time for which two upstreams of a service hang at once.
	minSilence = time.Second
	maxSilence = 4 * time.Second
	// minUnlisted and maxUnlisted limit the time for which the store lists no upstream of a service.
	minUnlisted = 50 * time.Millisecond
	maxUnlisted = 500 * time.Millisecond
	// minFaultPause and maxFaultPause limit the time between the end of a fault and the next one of its kind.
	minFaultPause = 200 * time.Millisecond
	maxFaultPause = 1500 * time.Millisecond
	// minStoreCut and maxStoreCut limit the time for which the link of a process to the store is silent.
	minStoreCut = 200 * time.Millisecond
	maxStoreCut = time.Second
	// minRateLimit and maxRateLimit limit the rate limits that upstreams name, in requests per second, askedPause is the pause for which
	// they ask.
	minRateLimit = 5
	maxRateLimit = 100
	askedPause   = time.Second
	// sentAhead is the number of requests that callers send ahead of the response to an earlier one.
	sentAhead = 3
	// longPadding is the length of long plain responses, maxReadPause the longest time before a part of one is read.
	longPadding  = 400 << 10
	maxReadPause = 12 * time.Millisecond
	// firstFault is the stream of random numbers of the first fault of a case.
	firstFault = 1000
)

// otherAccount is the second client account.
const otherAccount = "other"

// changingDeployment is a deployment whose configuration changes.
type changingDeployment struct {
	*changes
	*cluster.Cluster
	t *testing.T
	// named is the newest named version of the weights.
	named uint64
}

// furtherCase is a kind of changes and faults beside those of TestRequestsBesideChangesEnd.
type furtherCase struct {
	name    string
	entries int
	// draw draws a configuration.
	draw func(*rand.Rand) *standin.Routing
	// prepare changes the caller with an index, begin the deployment; nil for neither.
	prepare func(i int, c *changingCaller)
	begin   func(d *changingDeployment)
	// faults disturb the deployment, each once and with a later one of its kind after a pause.
	faults []fault
}

// fault disturbs a deployment until it is over; it ends early if its context is done.
type fault func(context.Context, *changingDeployment, *rand.Rand)

var furtherCases = []furtherCase{
	{name: "accounts and limits", entries: 2, draw: drawAccounts, prepare: useKeys},
	{name: "versions and evacuations", entries: 2, draw: drawFirstServices, faults: []fault{nameVersion, evacuate}},
	{name: "silent and unlisted upstreams", entries: 2, draw: drawRouting, prepare: continueStreams, faults: []fault{silence, unlist}},
	{name: "leaving and limited upstreams", entries: 2, draw: drawRouting, prepare: continueStreams, faults: []fault{leave, nameRateLimit, askForPause}},
	{name: "requests sent ahead and slow readers", entries: 2, draw: drawAccounts, prepare: sendAhead, begin: lengthenResponses},
	{name: "processes", entries: 3, draw: drawAccounts, prepare: useKeys, faults: []fault{reload, cutFromStore, kill}},
}

// Guards against requests that end without an answer or a refusal beside changes and faults that TestRequestsBesideChangesEnd lacks.
func TestRequestsBesideFurtherChangesEnd(t *testing.T) {
	for i := range furtherCases {
		t.Run(furtherCases[i].name, furtherCases[i].run)
	}
}

func (f *furtherCase) run(t *testing.T) {
	size := changingSize
	size.Entries = f.entries
	deployment, c := startChanging(t, size)
	d := &changingDeployment{c, deployment, t, cluster.InitialVersion}
	if f.begin != nil {
		f.begin(d)
	}
	ctx, cancel := context.WithTimeout(t.Context(), *furtherTime)
	defer cancel()
	go c.stalls.run(ctx)
	var seen endings
	var running sync.WaitGroup
	running.Go(func() { c.configure(ctx, newRandom(*changesSeed, changesStream), f.draw) })
	for i, upstreams := range [][]string{changingEngines(), changingPlain()} {
		running.Go(func() { c.hang(ctx, newRandom(*changesSeed, uint64(firstHang+i)), upstreams) })
	}
	disturbed := make([]int, len(f.faults))
	for i, fault := range f.faults {
		running.Go(func() { disturbed[i] = d.disturb(ctx, fault, newRandom(*changesSeed, uint64(firstFault+i))) })
	}
	for i, caller := range changingCallers(deployment, f.entries, seen.add) {
		if f.prepare != nil {
			f.prepare(i, caller)
		}
		running.Go(func() { caller.run(ctx) })
	}
	running.Wait()
	c.check(t, seen.all)
	assert.Check(t, !slices.Contains(disturbed, 0), "faults of each kind: %v", disturbed)
}

// disturb disturbs the deployment by a kind of fault again and again until ctx is done, and returns the number of faults.
func (d *changingDeployment) disturb(ctx context.Context, disturb fault, rng *rand.Rand) int {
	n := 0
	for ; hub.Sleep(ctx, drawTime(rng, minFaultPause, maxFaultPause)) == nil; n++ {
		disturb(ctx, d, rng)
	}
	return n
}

// drawAccounts draws a configuration with other accounts, limits and routes.
func drawAccounts(rng *rand.Rand) *standin.Routing {
	r := drawRouting(rng)
	r.Accounts = []standin.ClientAccount{{Name: standin.Account, Keys: []string{}, Priority: 1}, {Name: otherAccount, Keys: []string{}, Priority: rng.IntN(3)}}
	for _, key := range changingKeys {
		if rng.Float64() >= withdrawnShare {
			a := &r.Accounts[rng.IntN(len(r.Accounts))]
			a.Keys = append(a.Keys, key)
		}
	}
	if rng.Float64() < limitedShare {
		r.Limits.MaxBodyBytes = lowerBodyLimit
	}
	r.Limits.IdleTimeout = []time.Duration{time.Second, 5 * time.Second}[rng.IntN(2)]
	r.Limits.HeaderTimeout = []time.Duration{500 * time.Millisecond, 5 * time.Second}[rng.IntN(2)]
	return r
}

// drawFirstServices draws a configuration without the second services, whose engines load no versions.
func drawFirstServices(rng *rand.Rand) *standin.Routing {
	r := drawRouting(rng)
	r.SecondWeight = 0
	return r
}

// useKeys gives each caller one of the API keys.
func useKeys(i int, c *changingCaller) { c.key = changingKeys[i%len(changingKeys)] }

// sendAhead makes a caller send requests ahead, and every other one read long responses slowly too.
func sendAhead(i int, c *changingCaller) {
	useKeys(i, c)
	c.ahead = sentAhead
	if i%2 == 1 {
		c.readPause = time.Duration(c.rng.Int64N(int64(maxReadPause)))
	}
	if c.class.events == 0 {
		long := *c.class
		long.padding = longPadding
		c.class = &long
	}
}

// continueStreams makes every other caller continue streams.
func continueStreams(i int, c *changingCaller) { c.continues = i%2 == 1 }

func lengthenResponses(d *changingDeployment) {
	for _, u := range changingPlain() {
		d.site.SetBehavior(u, standin.Behavior{Padding: longPadding})
	}
}

// nameVersion names the next version of the weights and leaves the engines time for it.
func nameVersion(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	d.named++
	d.site.SetTargetVersion(d.named)
	_ = hub.Sleep(ctx, drawTime(rng, minLoading, maxLoading))
}

// evacuate evacuates a failure domain for a time.
func evacuate(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	domain := plan.Domains[rng.IntN(len(plan.Domains))]
	d.site.Evacuate(domain, true)
	_ = hub.Sleep(ctx, drawTime(rng, minEvacuated, maxEvacuated))
	d.site.Evacuate(domain, false)
}

// firstServices returns the upstreams of each of the first services.
func firstServices() [][]string {
	var engines, plain []string
	for i := range changingSize.Engines {
		engines = append(engines, plan.EngineName(i))
	}
	for i := range changingSize.Plain {
		plain = append(plain, plan.PlainName(i))
	}
	return [][]string{engines, plain}
}

// silence makes two upstreams of a service hang at once.
func silence(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	upstreams := firstServices()[rng.IntN(2)]
	rng.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	length := drawTime(rng, minSilence, maxSilence)
	for _, u := range upstreams[:2] {
		d.site.Hang(u, length)
	}
	_ = hub.Sleep(ctx, length)
}

// unlist removes all upstreams of a service from the store for a time.
func unlist(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	upstreams := firstServices()[rng.IntN(2)]
	for _, u := range upstreams {
		d.site.RemoveEntry(u)
	}
	_ = hub.Sleep(ctx, drawTime(rng, minUnlisted, maxUnlisted))
	for _, u := range upstreams {
		d.site.WriteEntry(u, "ready")
	}
}

// drawUpstream draws an upstream of the first services.
func drawUpstream(rng *rand.Rand) string {
	upstreams := firstServices()[rng.IntN(2)]
	return upstreams[rng.IntN(len(upstreams))]
}

// leave makes an upstream draining for a time.
func leave(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	upstream := drawUpstream(rng)
	d.site.WriteEntry(upstream, "draining")
	_ = hub.Sleep(ctx, drawTime(rng, minFaultPause, maxFaultPause))
	d.site.WriteEntry(upstream, "ready")
}

// nameRateLimit makes an upstream name a rate limit for a time.
func nameRateLimit(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	upstream := drawUpstream(rng)
	d.site.SetRateLimit(upstream, minRateLimit+rng.Float64()*(maxRateLimit-minRateLimit))
	_ = hub.Sleep(ctx, drawTime(rng, minFaultPause, maxFaultPause))
	d.site.SetRateLimit(upstream, 0)
}

// askForPause makes an upstream refuse requests and ask for a pause for a time.
func askForPause(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	upstream := drawUpstream(rng)
	d.site.SetBehavior(upstream, standin.Behavior{Refuses: true, Pause: askedPause})
	_ = hub.Sleep(ctx, drawTime(rng, minFaultPause, maxFaultPause))
	d.site.SetBehavior(upstream, standin.Behavior{})
}

// The entry processes to which the faults of processes happen: the first reloads its settings, the second misses the store, the
// third is killed.
const (
	reloading = iota
	storeless
	killed
)

// reload makes a process reload its settings.
func reload(_ context.Context, d *changingDeployment, _ *rand.Rand) {
	assert.Check(d.t, d.Processes[plan.EntryName(reloading)].Signal(syscall.SIGHUP) == nil)
}

// cutFromStore makes the link of a process to the store silent for a time.
func cutFromStore(ctx context.Context, d *changingDeployment, rng *rand.Rand) {
	restore := d.SetMode(plan.StoreLink(plan.EntryName(storeless)), proxy.Cut)
	_ = hub.Sleep(ctx, drawTime(rng, minStoreCut, maxStoreCut))
	restore()
}

// kill kills a process and starts it again.
func kill(_ context.Context, d *changingDeployment, _ *rand.Rand) {
	name := plan.EntryName(killed)
	started := d.addKill(name)
	assert.Check(d.t, d.Processes[name].Restart(syscall.SIGKILL, 0) == nil)
	started()
}

// addKill adds a kill that begins, and returns a function that completes it once the process has started again.
func (c *changes) addKill(process string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kills[process] = append(c.kills[process], interval{from: time.Now()})
	i := len(c.kills[process]) - 1
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.kills[process][i].until = time.Now()
	}
}
