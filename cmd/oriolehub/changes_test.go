package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
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
	changesSeed   = flag.Uint64("changes.seed", 1, "seed of TestRequestsBesideChangesEnd")
	changesTime   = flag.Duration("changes.time", 15*time.Second, "time for which TestRequestsBesideChangesEnd sends requests")
	changesFolder = flag.String("changes.folder", "", "existing folder for the logs of TestRequestsBesideChangesEnd, empty for a temporary one")
)

const (
	// minChangePause and maxChangePause limit the time between two changes of the configuration.
	minChangePause = 100 * time.Millisecond
	maxChangePause = 300 * time.Millisecond
	// missingShare is the share of the configurations that leave a route out.
	missingShare = 0.4
	// minHang and maxHang limit the time for which an upstream hangs, hangPause is the mean time until the next one does.
	minHang   = time.Second
	maxHang   = 1300 * time.Millisecond
	hangPause = 300 * time.Millisecond
	// inForce is the time within which a configuration is in force at all processes.
	inForce = 2 * time.Second
	// changesStream, firstHang and firstCaller are the streams of random numbers of the changes, the hangs and the callers.
	changesStream = 0
	firstHang     = 1
	firstCaller   = 3
	// clockTolerance is the time by which a process may count a limit differently from the caller.
	clockTolerance = 20 * time.Millisecond
)

// changingSize is the deployment without the upstreams of the second services.
var changingSize = plan.Size{Entries: 2, Engines: 3, Plain: 2}

// secondEngines and secondPlain are the upstreams of the second services.
var (
	secondEngines = []string{"second-engine-0", "second-engine-1"}
	secondPlain   = "second-plain"
)

// Timeouts of the routes, the shortest first.
var (
	streamTimeouts = []time.Duration{4 * time.Second, 6 * time.Second}
	plainTimeouts  = []time.Duration{time.Second, 2 * time.Second}
)

// interval is a time in which a route was missing; until is zero while it is.
type interval struct{ from, until time.Time }

// changes changes the configuration and makes upstreams hang, and keeps what it did.
type changes struct {
	site *standin.Site

	mu      sync.Mutex
	version int
	missing map[string][]interval
	hangs   int
	// arrivals are the requests at upstreams by their IDs.
	arrivals map[string][]standin.Arrival
}

func (c *changes) observe(a standin.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[a.RequestId] = append(c.arrivals[a.RequestId], a)
}

// configure changes the configuration again and again until ctx is done, and writes the first one at the end.
func (c *changes) configure(ctx context.Context, rng *rand.Rand) {
	defer c.write(&standin.Routing{})
	for hub.Sleep(ctx, minChangePause+time.Duration(rng.Int64N(int64(maxChangePause-minChangePause)))) == nil {
		r := &standin.Routing{
			SecondWeight: []int{0, 30, 70, 100}[rng.IntN(4)], StreamTimeout: streamTimeouts[rng.IntN(2)], PlainTimeout: plainTimeouts[rng.IntN(2)],
		}
		if rng.Float64() < missingShare {
			r.Missing = changingClasses[rng.IntN(len(changingClasses))].route
		}
		c.write(r)
	}
}

// write writes a configuration. A route counts as missing from before it is left out until after it is back.
func (c *changes) write(r *standin.Routing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	if r.Missing != "" {
		c.missing[r.Missing] = append(c.missing[r.Missing], interval{from: time.Now()})
	}
	c.site.ConfigureRoutes(c.version, r, standin.Key)
	for route, intervals := range c.missing {
		for i := range intervals {
			if intervals[i].until.IsZero() && (route != r.Missing || i < len(intervals)-1) {
				intervals[i].until = time.Now()
			}
		}
	}
}

// wasMissing reports whether a configuration without a route may have been in force at some time of a request.
func (c *changes) wasMissing(e *ending) bool {
	return slices.ContainsFunc(c.missing[e.class.route], func(i interval) bool {
		return i.from.Before(e.ended) && (i.until.IsZero() || e.sent.Before(i.until.Add(inForce)))
	})
}

// hang makes one of some upstreams after the other hang until ctx is done.
func (c *changes) hang(ctx context.Context, rng *rand.Rand, upstreams []string) {
	for hub.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(hangPause))) == nil {
		length := minHang + time.Duration(rng.Int64N(int64(maxHang-minHang)))
		c.site.Hang(upstreams[rng.IntN(len(upstreams))], length)
		c.mu.Lock()
		c.hangs++
		c.mu.Unlock()
		_ = hub.Sleep(ctx, length)
	}
}

// Ends of requests that are as they should be.
const (
	endAnswered = "answered"
	endRefused  = "refused"
	endNoRoute  = "no route"
	endLate     = "time was up"
)

// judge returns how a request has ended, and false if it must not end so. The upstreams answer each request that they run, so
// that no failure is theirs.
func (c *changes) judge(e *ending) (string, bool) {
	late := e.took() >= e.limit-clockTolerance
	switch {
	case e.err != nil && e.status == http.StatusOK && late && strings.HasPrefix(e.expected(), e.body):
		return endLate, e.class.events > 0
	case e.err != nil:
		return "connection: " + e.err.Error(), false
	case e.status == http.StatusOK && e.signed && e.body == e.expected():
		return endAnswered, c.ran(e) >= 1 && (e.class.route == standin.LookupRoute || c.ran(e) == 1 || e.class.events > 0)
	case e.status == http.StatusOK:
		return fmt.Sprintf("wrong response of %d bytes", len(e.body)), false
	case slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, e.status):
		return endRefused, e.class.route == standin.LookupRoute || c.ran(e) == 0
	case e.status == http.StatusNotFound:
		return endNoRoute, c.wasMissing(e)
	case e.status == http.StatusGatewayTimeout:
		return endLate, late
	default:
		return fmt.Sprintf("status %d", e.status), false
	}
}

// expected returns the body of the whole response.
func (e *ending) expected() string {
	if e.class.events > 0 {
		return standin.StreamBody(e.id, e.class.events)
	}
	return standin.PlainBody(e.id, e.class.method)
}

// ran returns how often a request has run.
func (c *changes) ran(e *ending) int {
	n := 0
	for _, a := range c.arrivals[e.id] {
		if a.Ran {
			n++
		}
	}
	return n
}

// startChanging starts the deployment. Its logs are in the folder of the flag, if there is one.
func startChanging(t *testing.T) (*cluster.Cluster, *changes) {
	t.Helper()
	c := &changes{version: 1, missing: map[string][]interval{}, arrivals: map[string][]standin.Arrival{}}
	folder := *changesFolder
	if folder == "" {
		folder = t.TempDir()
	}
	started, err := cluster.Start(cluster.Options{
		Size: changingSize, Program: cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}, Folder: folder,
		Switch: 8 * time.Second, Events: changingEvents, Observe: c.observe, OnExit: func(err error) { t.Error(err) },
	})
	assert.NilError(t, err)
	t.Cleanup(started.Stop)
	c.site = started.Site
	for i, id := range secondEngines {
		e, _, err := c.site.AddEngineOf(standin.SecondService, id, network.Loopback(), cluster.Domain(i), 1)
		assert.NilError(t, err)
		e.SetEvents(changingEvents)
	}
	assert.NilError(t, c.site.AddPlainUpstreamOf(standin.SecondPlainService, secondPlain, network.Loopback(), "b"))
	c.write(&standin.Routing{})
	for name := range started.Processes {
		assert.Assert(t, started.AwaitReady(name, readyTimeout), name)
	}
	return started, c
}

// Guards against requests that end without an answer or a refusal because the configuration changes or an upstream is silent for
// a second.
func TestRequestsBesideChangesEnd(t *testing.T) {
	deployment, c := startChanging(t)
	ctx, cancel := context.WithTimeout(t.Context(), *changesTime)
	defer cancel()
	var seen endings
	var running sync.WaitGroup
	running.Go(func() { c.configure(ctx, rand.New(rand.NewPCG(*changesSeed, changesStream))) })
	for i, upstreams := range [][]string{changingEngines(), changingPlain()} {
		running.Go(func() { c.hang(ctx, rand.New(rand.NewPCG(*changesSeed, uint64(firstHang+i))), upstreams) })
	}
	for _, caller := range changingCallers(deployment, seen.add) {
		running.Go(func() { caller.run(ctx) })
	}
	running.Wait()
	c.check(t, seen.all)
}

// changingEngines returns the IDs of all engines, changingPlain those of all upstreams of the plain services.
func changingEngines() []string {
	out := slices.Clone(secondEngines)
	for i := range changingSize.Engines {
		out = append(out, plan.EngineName(i))
	}
	return out
}

func changingPlain() []string {
	out := []string{secondPlain}
	for i := range changingSize.Plain {
		out = append(out, plan.PlainName(i))
	}
	return out
}

// changingCallers returns the callers of all classes at all entry processes.
func changingCallers(deployment *cluster.Cluster, add func(*ending)) []*changingCaller {
	var out []*changingCaller
	for i := range changingSize.Entries {
		for j := range changingClasses {
			class := &changingClasses[j]
			for k := range class.callers {
				process := plan.EntryName(i)
				out = append(out, &changingCaller{
					name: fmt.Sprintf("e%d-%s-%d", i, class.name, k), process: process, address: deployment.ListenerAddress(process), class: class, add: add,
					rng: rand.New(rand.NewPCG(*changesSeed, uint64(firstCaller+len(out)))),
				})
			}
		}
	}
	return out
}

// check judges how all requests have ended. Too few answers or changes would prove nothing.
func (c *changes) check(t *testing.T, all []*ending) {
	t.Helper()
	counts := map[string]int{}
	for _, e := range all {
		end, ok := c.judge(e)
		counts[e.class.name+" "+end]++
		if !ok {
			t.Errorf("%s at %s (body of %d bytes, connection reused %t) sent %s, after %s of %s: %s, status %d; at upstreams: %v",
				e.id, e.process, e.bodyLength, e.reused, e.sent.Format("15:04:05.000"), e.took(), e.limit, end, e.status, c.arrivals[e.id])
		}
	}
	t.Logf("seed %d: %d configurations, %d hangs, %d requests: %v", *changesSeed, c.version, c.hangs, len(all), counts)
	for _, class := range changingClasses {
		assert.Check(t, counts[class.name+" "+endAnswered] > 0, class.name)
	}
	assert.Check(t, c.version > 1 && c.hangs > 0)
}

// A check that never fails proves nothing: each end that must not be is judged once.
func TestEndsOfRequestsAreJudged(t *testing.T) {
	sent := time.Now()
	stream, once, lookup := &changingClasses[0], &changingClasses[1], &changingClasses[2]
	partial := standin.StreamBody("x", 3)
	for name, tc := range map[string]struct {
		ending ending
		runs   int
		ok     bool
	}{
		"answered":                 {ending{class: once, status: 200, signed: true, body: standin.PlainBody("x", http.MethodPost)}, 1, true},
		"answered without a run":   {ending{class: once, status: 200, signed: true, body: standin.PlainBody("x", http.MethodPost)}, 0, false},
		"run twice":                {ending{class: once, status: 200, signed: true, body: standin.PlainBody("x", http.MethodPost)}, 2, false},
		"lookup run twice":         {ending{class: lookup, status: 200, signed: true, body: standin.PlainBody("x", http.MethodPost)}, 2, true},
		"answered without a sign":  {ending{class: once, status: 200, body: standin.PlainBody("x", http.MethodPost)}, 1, false},
		"response of another":      {ending{class: once, status: 200, signed: true, body: standin.PlainBody("y", http.MethodPost)}, 1, false},
		"refused":                  {ending{class: once, status: 503}, 0, true},
		"refused after a run":      {ending{class: once, status: 503}, 1, false},
		"no route":                 {ending{class: once, status: 404}, 0, true},
		"no route, which is there": {ending{class: lookup, status: 404}, 0, false},
		"late":                     {ending{class: once, status: 504, ended: sent.Add(2 * time.Second)}, 1, true},
		"504 in time":              {ending{class: once, status: 504}, 1, false},
		"502":                      {ending{class: once, status: 502}, 1, false},
		"500":                      {ending{class: once, status: 500}, 0, false},
		"closed":                   {ending{class: once, err: io.EOF}, 1, false},
		"closed late":              {ending{class: once, err: io.EOF, ended: sent.Add(2 * time.Second)}, 1, false},
		"cut stream":               {ending{class: stream, status: 200, signed: true, body: partial, err: io.ErrUnexpectedEOF}, 1, false},
		"late stream":              {ending{class: stream, status: 200, signed: true, body: partial, err: io.ErrUnexpectedEOF, ended: sent.Add(5 * time.Second)}, 1, true},
		"short stream":             {ending{class: stream, status: 200, signed: true, body: partial}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := tc.ending
			e.id, e.sent, e.limit = "x", sent, e.class.limit
			if e.ended.IsZero() {
				e.ended = sent.Add(e.limit / 2)
			}
			c := &changes{arrivals: map[string][]standin.Arrival{}, missing: map[string][]interval{
				standin.AtMostOnceRoute: {{from: sent.Add(-inForce), until: sent.Add(-inForce / 2)}},
				standin.LookupRoute:     {{from: sent.Add(-2 * inForce), until: sent.Add(-inForce - time.Second)}},
			}}
			for range tc.runs {
				c.observe(standin.Arrival{RequestId: "x", Ran: true})
			}
			_, ok := c.judge(&e)
			assert.Equal(t, ok, tc.ok)
		})
	}
}
