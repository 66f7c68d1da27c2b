package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/network"
	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/platform/standin"
)

var (
	stopsSeed   = flag.Uint64("stops.seed", 1, "seed of TestRequestsBesidePlannedStopsEnd")
	stopsTime   = flag.Duration("stops.time", 25*time.Second, "time for which TestRequestsBesidePlannedStopsEnd sends requests")
	stopsFolder = flag.String("stops.folder", "", "existing folder for the logs of TestRequestsBesidePlannedStopsEnd, empty for a temporary one")
)

const (
	// minStopGap and maxStopGap limit the time between the signals of two stops, of which maxStopping are in progress at most.
	minStopGap  = time.Second
	maxStopGap  = 6 * time.Second
	maxStopping = 2
	// reloadAfter is the time after the signal of a stop at which the process reloads its settings.
	reloadAfter = time.Second
	// stopsEvents is the number of events of each stream, which minSlow and maxSlow make last longer.
	stopsEvents = 60
	minSlow     = 2500 * time.Millisecond
	maxSlow     = 5 * time.Second
	maxSlowOnce = 3 * time.Second
	// fastShare is the share of the times in which an upstream is not slow, slowPause the time between two changes of one.
	fastShare    = 0.25
	minSlowPause = 200 * time.Millisecond
	maxSlowPause = time.Second
	// minPhase and maxPhase limit the time for which the configuration changes, and that for which it does not.
	minPhase = 2 * time.Second
	maxPhase = 6 * time.Second
	// The streams of random numbers.
	stopsStream      = 0
	stopsChanges     = 1
	stopsFirstHang   = 2
	stopsFirstSlow   = 4
	stopsSides       = 1000
	stopsFirstCaller = 6
)

// stopsSize is the deployment without the upstreams of the second services.
var stopsSize = plan.Size{Entries: 3, Engines: 3, Plain: 2}

// Timeouts of the routes, the shortest first. They leave the time for a slow body and a slow response.
var (
	stopsStreamTimeouts = []time.Duration{10 * time.Second, 12 * time.Second}
	stopsPlainTimeouts  = []time.Duration{8 * time.Second, 10 * time.Second}
)

var stopsClasses = []changingClass{
	{name: "stream", route: standin.StreamRoute, method: "POST", path: standin.Path + "note", events: stopsEvents, limit: stopsStreamTimeouts[0], callers: 16},
	{name: "once", route: standin.AtMostOnceRoute, method: "POST", path: standin.AtMostOncePath + "new", limit: stopsPlainTimeouts[0], callers: 8},
	{name: "lookup", route: standin.LookupRoute, method: "POST", path: standin.LookupPath + "last", limit: stopsPlainTimeouts[0], callers: 8},
}

// stop stops one entry process after the other, and starts each again, until ctx is done; stops in progress are awaited.
func (s *stops) stop(ctx context.Context, t *testing.T, deployment *cluster.Cluster, rng *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	places := make(chan struct{}, maxStopping)
	for i := 0; hub.Sleep(ctx, drawTime(rng, minStopGap, maxStopGap)) == nil; i++ {
		name := plan.EntryName(i % stopsSize.Entries)
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			s.restart(t, deployment, name)
		})
	}
}

// restart stops a process, which reloads its settings before and meanwhile, and waits until it serves again.
func (s *stops) restart(t *testing.T, deployment *cluster.Cluster, name string) {
	p := deployment.Processes[name]
	done := s.addStop(name)
	assert.Check(t, p.Signal(syscall.SIGHUP) == nil)
	reload := time.AfterFunc(reloadAfter, func() { _ = p.Signal(syscall.SIGHUP) })
	stopped, err := p.RestartTimed(syscall.SIGTERM, 0)
	reload.Stop()
	done(stopped)
	assert.Check(t, err == nil, err)
	assert.Check(t, deployment.AwaitReady(name, readyTimeout), name)
}

// restartSides stops one side process after the other, and starts each again, until ctx is done.
func restartSides(ctx context.Context, t *testing.T, deployment *cluster.Cluster, rng *rand.Rand) {
	for i := 0; hub.Sleep(ctx, drawTime(rng, minStopGap, maxStopGap)) == nil; i++ {
		name := plan.SideName(i % stopsSize.Engines)
		assert.Check(t, deployment.Processes[name].Restart(syscall.SIGTERM, 0) == nil)
		assert.Check(t, deployment.AwaitReady(name, readyTimeout), name)
	}
}

// configure changes the configuration in some phases until ctx is done, and writes the first one at the end of each.
func (s *stops) configure(ctx context.Context, rng *rand.Rand) {
	for hub.Sleep(ctx, drawTime(rng, minPhase, maxPhase)) == nil {
		phase, cancel := context.WithTimeout(ctx, drawTime(rng, minPhase, maxPhase))
		for hub.Sleep(phase, drawTime(rng, minChangePause, maxChangePause)) == nil {
			s.changes.write(drawStopsRouting(rng))
		}
		cancel()
		s.changes.write(firstStopsRouting())
	}
}

func firstStopsRouting() *standin.Routing {
	return &standin.Routing{StreamTimeout: stopsStreamTimeouts[0], PlainTimeout: stopsPlainTimeouts[0]}
}

func drawStopsRouting(rng *rand.Rand) *standin.Routing {
	r := &standin.Routing{
		SecondWeight:  []int{0, 30, 70, 100}[rng.IntN(4)],
		StreamTimeout: stopsStreamTimeouts[rng.IntN(len(stopsStreamTimeouts))], PlainTimeout: stopsPlainTimeouts[rng.IntN(len(stopsPlainTimeouts))],
	}
	if rng.Float64() < missingShare {
		r.Missing = stopsClasses[rng.IntN(len(stopsClasses))].route
	}
	return r
}

// slow makes upstreams slow, each for another time, until ctx is done.
func (s *stops) slow(ctx context.Context, rng *rand.Rand, upstreams []string, least, most time.Duration) {
	draw := func() time.Duration {
		if rng.Float64() < fastShare {
			return 0
		}
		return drawTime(rng, least, most)
	}
	for _, u := range upstreams {
		s.changes.site.SetDelay(u, draw())
	}
	for hub.Sleep(ctx, drawTime(rng, minSlowPause, maxSlowPause)) == nil {
		s.changes.site.SetDelay(upstreams[rng.IntN(len(upstreams))], draw())
	}
	for _, u := range upstreams {
		s.changes.site.SetDelay(u, 0)
	}
}

// startStopping starts the deployment. Its logs are in the folder of the flag, if there is one.
func startStopping(t *testing.T) (*cluster.Cluster, *stops) {
	t.Helper()
	s := newStops()
	s.folder = *stopsFolder
	if s.folder == "" {
		s.folder = t.TempDir()
	}
	started, err := cluster.Start(cluster.Options{
		Size: stopsSize, Program: cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}, Folder: s.folder,
		Switch: stopTime, Events: stopsEvents, Observe: s.changes.observe, Ended: s.addEnd, BrokeOff: s.addBrokenOff,
		OnExit: func(err error) { t.Error(err) },
	})
	assert.NilError(t, err)
	t.Cleanup(started.Stop)
	s.changes.site = started.Site
	for i, id := range secondEngines {
		e, _, err := started.Site.AddEngineOf(standin.SecondService, id, network.Loopback(), cluster.Domain(i), 1)
		assert.NilError(t, err)
		e.SetEvents(stopsEvents)
	}
	assert.NilError(t, started.Site.AddPlainUpstreamOf(standin.SecondPlainService, secondPlain, network.Loopback(), "b"))
	s.changes.write(firstStopsRouting())
	for name := range started.Processes {
		assert.Assert(t, started.AwaitReady(name, readyTimeout), name)
	}
	// Until then, requests may end by the shorter timeouts of the configuration that the site begins with.
	time.Sleep(inForce)
	return started, s
}

// Guards against requests that end without an answer or a refusal because their entry process is stopped in a planned way,
// also beside changes of the configuration, slow bodies, and upstreams that are slow or silent for a second.
func TestRequestsBesidePlannedStopsEnd(t *testing.T) {
	deployment, s := startStopping(t)
	ctx, cancel := context.WithTimeout(t.Context(), *stopsTime)
	defer cancel()
	var seen stopEndings
	var running sync.WaitGroup
	random := func(stream int) *rand.Rand { return newRandom(*stopsSeed, uint64(stream)) }
	watching, ended := context.WithCancel(t.Context())
	defer ended()
	go s.stalls.run(watching)
	running.Go(func() { s.stop(ctx, t, deployment, random(stopsStream)) })
	running.Go(func() { restartSides(ctx, t, deployment, random(stopsSides)) })
	running.Go(func() { s.configure(ctx, random(stopsChanges)) })
	running.Go(func() { s.slow(ctx, random(stopsFirstSlow), changingEngines(), minSlow, maxSlow) })
	running.Go(func() { s.slow(ctx, random(stopsFirstSlow+1), changingPlain(), 0, maxSlowOnce) })
	for i, upstreams := range [][]string{changingEngines(), changingPlain()} {
		running.Go(func() { s.changes.hang(ctx, random(stopsFirstHang+i), upstreams) })
	}
	for i, caller := range stopsCallers(deployment, seen.add) {
		caller.rng = random(stopsFirstCaller + i)
		running.Go(func() { caller.run(ctx) })
	}
	running.Wait()
	s.check(t, seen.all)
}

// stopsCallers returns the callers of all classes at all entry processes, without random numbers.
func stopsCallers(deployment *cluster.Cluster, add func(*stopEnding)) []*stopsCaller {
	var out []*stopsCaller
	for i := range stopsSize.Entries {
		process := plan.EntryName(i)
		for j := range stopsClasses {
			class := &stopsClasses[j]
			for k := range class.callers {
				out = append(out, &stopsCaller{
					name: fmt.Sprintf("e%d-%s-%d", i, class.name, k), process: process, address: deployment.ListenerAddress(process), class: class, add: add,
				})
			}
		}
	}
	return out
}

// stopEndings collects how requests have ended. It is safe for concurrent use.
type stopEndings struct {
	mu  sync.Mutex
	all []*stopEnding
}

func (s *stopEndings) add(e *stopEnding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, e)
}

// check judges how all requests have ended. Too few answers, stops or changes would prove nothing.
func (s *stops) check(t *testing.T, all []*stopEnding) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes.mu.Lock()
	defer s.changes.mu.Unlock()
	counts, besideStops := map[string]int{}, map[string]int{}
	for _, e := range all {
		end, ok := s.judge(e)
		counts[e.class.name+" "+end]++
		if stop, stopping := s.stopOf(e); stopping && e.sent.Before(stop.Ended) {
			besideStops[e.kind+" "+end]++
		}
		if !ok {
			t.Errorf("%s at %s (body %s, connection reused %t) sent %s, after %s of %s: %s, status %d; at upstreams: %v; %s",
				e.id, e.process, e.kind, e.reused, e.sent.Format("15:04:05.000"), e.took(), e.limit, end, e.status, s.changes.arrivals[e.id], s.describe(e))
		}
	}
	stopped := s.checkStops(t)
	stalls, stalled := s.stalls.count()
	t.Logf("seed %d: %d stops, %d configurations, %d hangs, %d stalls of the test (%s), %d requests: %v",
		*stopsSeed, stopped, s.changes.version, s.changes.hangs, stalls, stalled.Round(time.Millisecond), len(all), counts)
	t.Logf("beside stops, by body: %v", besideStops)
	for _, class := range stopsClasses {
		assert.Check(t, counts[class.name+" "+endAnswered] > 0, class.name)
	}
	assert.Check(t, stalled < *stopsTime/maxStallShare, "the machine is too busy for this test: its own process did not run for %s", stalled)
	assert.Check(t, stopped > 0 && s.changes.version > 1 && s.changes.hangs > 0)
}
