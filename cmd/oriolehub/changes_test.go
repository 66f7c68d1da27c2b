package main

import (
	"cmp"
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

// interval is a time in which a condition held; until is zero while it does.
type interval struct{ from, until time.Time }

// changes changes the configuration and makes upstreams hang, and keeps what it did.
type changes struct {
	site *standin.Site

	mu      sync.Mutex
	version int
	// conditions are the times in which configurations with a condition were in force.
	conditions map[condition][]interval
	hangs      int
	stalls     stallWatch
	// kills are the times in which processes were killed and not started again.
	kills map[string][]interval
	// arrivals are the requests at upstreams by their IDs.
	arrivals map[string][]standin.Arrival
}

func newChanges() *changes {
	return &changes{version: 1, conditions: map[condition][]interval{}, kills: map[string][]interval{}, arrivals: map[string][]standin.Arrival{}}
}

func (c *changes) observe(a standin.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[a.RequestId] = append(c.arrivals[a.RequestId], a)
}

// configure changes the configuration again and again until ctx is done, and writes the first one at the end.
func (c *changes) configure(ctx context.Context, rng *rand.Rand, draw func(*rand.Rand) *standin.Routing) {
	defer c.write(&standin.Routing{})
	for hub.Sleep(ctx, drawTime(rng, minChangePause, maxChangePause)) == nil {
		c.write(draw(rng))
	}
}

// drawRouting draws a configuration with other routes.
func drawRouting(rng *rand.Rand) *standin.Routing {
	r := &standin.Routing{
		SecondWeight: []int{0, 30, 70, 100}[rng.IntN(4)], StreamTimeout: streamTimeouts[rng.IntN(2)], PlainTimeout: plainTimeouts[rng.IntN(2)],
	}
	if rng.Float64() < missingShare {
		r.Missing = changingClasses[rng.IntN(len(changingClasses))].route
	}
	return r
}

// write writes a configuration. A condition counts as in force from before it is written until after it is replaced.
func (c *changes) write(r *standin.Routing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	conditions := conditionsOf(r)
	for _, name := range conditions {
		c.conditions[name] = append(c.conditions[name], interval{from: time.Now()})
	}
	c.site.ConfigureRoutes(c.version, r, standin.Key)
	for name, intervals := range c.conditions {
		for i := range intervals {
			if intervals[i].until.IsZero() && (i < len(intervals)-1 || !slices.Contains(conditions, name)) {
				intervals[i].until = time.Now()
			}
		}
	}
}

// wasInForce reports whether a configuration with a condition may have been in force at some time of a request.
func (c *changes) wasInForce(name condition, e *ending) bool {
	return slices.ContainsFunc(c.conditions[name], func(i interval) bool {
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
	endNoKey    = "unknown key"
	endTooLong  = "body too long"
	endKilled   = "process was killed"
	endUnread   = "connection closed after an earlier response"
)

// judge returns how a request has ended, and false if it must not end so. The upstreams answer each request that they run, so
// that no failure is theirs.
func (c *changes) judge(e *ending) (string, bool) {
	late := e.took() >= e.limit-clockTolerance
	switch {
	case !c.accountsFit(e):
		return "run for an account without the key", false
	case e.err != nil && c.killed(e):
		return endKilled, c.ranOnce(e)
	case e.unread:
		return endUnread, c.ran(e) == 0
	case e.err != nil && e.status == http.StatusOK && late && strings.HasPrefix(e.expected(), e.body):
		return endLate, e.class.events > 0
	case e.err != nil:
		return "connection: " + e.err.Error(), false
	case e.status == http.StatusOK && e.signed && e.body == e.expected():
		return endAnswered, c.ran(e) >= 1 && c.ranOnce(e)
	case e.status == http.StatusOK:
		return fmt.Sprintf("wrong response of %d bytes", len(e.body)), false
	case slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, e.status):
		return endRefused, e.class.route == standin.LookupRoute || c.ran(e) == 0
	case e.status == http.StatusNotFound:
		return endNoRoute, c.wasInForce(withoutRoute(e.class.route), e)
	case e.status == http.StatusUnauthorized:
		return endNoKey, c.ran(e) == 0 && c.wasInForce(withoutKey(e.key), e)
	case e.status == http.StatusRequestEntityTooLarge:
		return endTooLong, c.ran(e) == 0 && e.bodyLength > lowerBodyLimit && c.wasInForce(limitsBodies, e)
	case e.status == http.StatusGatewayTimeout:
		return endLate, late
	default:
		return fmt.Sprintf("status %d", e.status), false
	}
}

// expected returns the body of the whole response.
func (e *ending) expected() string {
	if e.class.events > 0 {
		return standin.StreamBodyAfter(e.id, e.lastEvent, e.class.events)
	}
	return standin.PlainBody(e.id, e.class.method) + string(make([]byte, e.class.padding))
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

// ranOnce reports whether a request has run once at most, unless it may run again.
func (c *changes) ranOnce(e *ending) bool {
	return e.class.route != standin.AtMostOnceRoute || c.ran(e) <= 1
}

// killed reports whether the process of a request was killed or did not run at some time since the connection was opened.
func (c *changes) killed(e *ending) bool {
	return slices.ContainsFunc(c.kills[e.process], func(i interval) bool {
		return i.from.Before(e.ended) && (i.until.IsZero() || e.opened.Before(i.until))
	})
}

// startChanging starts the deployment. Its logs are in the folder of the flag, if there is one.
func startChanging(t *testing.T, size plan.Size) (*cluster.Cluster, *changes) {
	t.Helper()
	c := newChanges()
	folder := *changesFolder
	if folder == "" {
		folder = t.TempDir()
	}
	started, err := cluster.Start(cluster.Options{
		Size: size, Program: cluster.Program{Path: os.Args[0], Env: append(os.Environ(), envProgram+"=1")}, Folder: folder,
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
	deployment, c := startChanging(t, changingSize)
	ctx, cancel := context.WithTimeout(t.Context(), *changesTime)
	defer cancel()
	go c.stalls.run(ctx)
	var seen endings
	var running sync.WaitGroup
	running.Go(func() { c.configure(ctx, newRandom(*changesSeed, changesStream), drawRouting) })
	for i, upstreams := range [][]string{changingEngines(), changingPlain()} {
		running.Go(func() { c.hang(ctx, newRandom(*changesSeed, uint64(firstHang+i)), upstreams) })
	}
	for _, caller := range changingCallers(deployment, changingSize.Entries, seen.add) {
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

// changingCallers returns the callers of all classes at a number of entry processes.
func changingCallers(deployment *cluster.Cluster, entries int, add func(*ending)) []*changingCaller {
	var out []*changingCaller
	for i := range entries {
		for j := range changingClasses {
			class := &changingClasses[j]
			for k := range class.callers {
				process := plan.EntryName(i)
				out = append(out, &changingCaller{
					name: fmt.Sprintf("e%d-%s-%d", i, class.name, k), process: process, address: deployment.ListenerAddress(process), class: class, add: add,
					key: standin.Key, rng: newRandom(*changesSeed, uint64(firstCaller+len(out))),
				})
			}
		}
	}
	return out
}

// check judges how all requests have ended. Too few answers or changes would prove nothing.
func (c *changes) check(t *testing.T, all []*ending) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	latest := &ending{}
	for _, e := range all {
		if e.took()-e.limit > latest.took()-latest.limit {
			latest = e
		}
		end, ok := c.judge(e)
		counts[e.class.name+" "+end]++
		if !ok {
			t.Errorf("%s at %s (body of %d bytes, connection reused %t) sent %s, after %s of %s: %s, status %d; at upstreams: %v",
				e.id, e.process, e.bodyLength, e.reused, e.sent.Format("15:04:05.000"), e.took(), e.limit, end, e.status, c.arrivals[e.id])
		}
	}
	t.Logf("seed %d: %d configurations, %d hangs, %d requests: %v", *changesSeed, c.version, c.hangs, len(all), counts)
	stalls, stalled := c.stalls.count()
	t.Logf("%d stalls of the test (%s); the latest is %s, after %s of %s", stalls, stalled.Round(time.Millisecond), latest.id, latest.took(), latest.limit)
	for _, class := range changingClasses {
		assert.Check(t, counts[class.name+" "+endAnswered] > 0, class.name)
	}
	assert.Check(t, c.version > 1 && c.hangs > 0)
}

// A check that never fails proves nothing: each end that must not be is judged once.
func TestEndsOfRequestsAreJudged(t *testing.T) {
	sent := time.Now()
	stream, once, lookup := &changingClasses[0], &changingClasses[1], &changingClasses[2]
	partial, withdrawn := standin.StreamBody("x", 3), changingKeys[1]
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
		"continued stream":         {ending{class: stream, lastEvent: 3, status: 200, signed: true, body: standin.StreamBodyAfter("x", 3, stream.events)}, 1, true},
		"stream from its start":    {ending{class: stream, lastEvent: 3, status: 200, signed: true, body: standin.StreamBody("x", stream.events)}, 1, false},
		"unknown key":              {ending{class: once, key: withdrawn, status: 401}, 0, true},
		"unknown key, which is":    {ending{class: once, status: 401}, 0, false},
		"run for another account":  {ending{class: once, key: withdrawn, status: 200, signed: true, body: standin.PlainBody("x", http.MethodPost)}, 1, false},
		"body too long":            {ending{class: once, bodyLength: lowerBodyLimit + 1, status: 413}, 0, true},
		"body not too long":        {ending{class: once, bodyLength: lowerBodyLimit, status: 413}, 0, false},
		"too long after a run":     {ending{class: once, bodyLength: lowerBodyLimit + 1, status: 413}, 1, false},
		"killed":                   {ending{class: once, process: "killed", err: io.EOF}, 1, true},
		"killed, run twice":        {ending{class: once, process: "killed", err: io.EOF}, 2, false},
		"closed after the kill":    {ending{class: once, process: "killed", opened: sent, err: io.EOF}, 0, false},
		"not read":                 {ending{class: once, unread: true, err: errClosedBefore}, 0, true},
		"not read, but run":        {ending{class: once, unread: true, err: errClosedBefore}, 1, false},
		"not read, no reason":      {ending{class: once, err: errClosedBefore}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := tc.ending
			e.id, e.key, e.sent, e.limit = "x", cmp.Or(e.key, standin.Key), sent, e.class.limit
			if e.ended.IsZero() {
				e.ended = sent.Add(e.limit / 2)
			}
			c := newChanges()
			c.conditions[withoutRoute(standin.AtMostOnceRoute)] = []interval{{from: sent.Add(-inForce), until: sent.Add(-inForce / 2)}}
			c.conditions[withoutRoute(standin.LookupRoute)] = []interval{{from: sent.Add(-2 * inForce), until: sent.Add(-inForce - time.Second)}}
			c.conditions[keyOfAccount(standin.Key, standin.Account)] = []interval{{from: sent.Add(-inForce)}}
			c.conditions[withoutKey(withdrawn)] = []interval{{from: sent.Add(-inForce)}}
			c.conditions[limitsBodies] = []interval{{from: sent.Add(-inForce), until: sent.Add(-inForce / 2)}}
			c.kills["killed"] = []interval{{from: sent.Add(-time.Second), until: sent.Add(-time.Millisecond)}}
			for range tc.runs {
				c.observe(standin.Arrival{RequestId: "x", Account: standin.Account, Ran: true})
			}
			_, ok := c.judge(&e)
			assert.Equal(t, ok, tc.ok)
		})
	}
}
