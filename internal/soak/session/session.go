package session

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/soak/check"
	"github.com/oriolehub/oriolehub/internal/soak/cluster"
	"github.com/oriolehub/oriolehub/internal/soak/excess"
	"github.com/oriolehub/oriolehub/internal/soak/plan"
	"github.com/oriolehub/oriolehub/internal/soak/record"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// storeBusyStatus is the status of calls that the store turns away.
	storeBusyStatus = http.StatusServiceUnavailable
	// startLimit is the time within which all processes serve at the start.
	startLimit = 30 * time.Second
	// callersPerClass is the number of callers of each class, at least one at each entry process.
	callersPerClass = 18
	// secondUpstreams is the number of upstreams of the second plain service in plans that change routes.
	secondUpstreams = 2
	// switchBound is the time within which a named version replaces older ones.
	switchBound = 8 * time.Second
)

// ErrNotStarted means that the deployment did not serve before the first fault.
var ErrNotStarted = errors.New("deployment does not serve")

// faultRates are the rates at which single calls fail besides the faults of the plan.
var faultRates = standin.Rates{
	StoreRefused: 0.02, StoreResponseLost: 0.02, HistoryLost: 0.02, OriginResponseLost: 0.05, ChunkCorrupted: 0.05, ChunkTruncated: 0.05,
	StagedCorrupted: 0.02, Refused: 0.01, ResponseLost: 0.005, StreamAborted: 0.01,
}

// classes are the kinds of requests.
var classes = []class{
	{name: "stream", route: standin.StreamRoute, method: http.MethodPost, path: standin.Path + "note", events: eventsPerStream, limit: 6 * time.Second},
	{name: "once", route: standin.AtMostOnceRoute, method: http.MethodPost, path: standin.AtMostOncePath + "new", once: true, limit: 2 * time.Second},
	{name: "lookup", route: standin.LookupRoute, method: http.MethodGet, path: standin.LookupPath + "last", limit: 2 * time.Second},
}

// eventsPerStream is the number of events of each stream.
const eventsPerStream = 12

// Options configure a session.
type Options struct {
	Plan *plan.Plan
	// Folder receives the plan, the settings and logs of the processes, and the report.
	Folder  string
	Program cluster.Program
}

// Result is what a session has shown.
type Result struct {
	Plan       *plan.Plan
	Seen       *record.Seen
	Violations []check.Violation
	// Excess is what callers outside the limits have done, for each kind of fault that was applied.
	Excess map[plan.Kind]*excess.Totals
}

// session is a running session.
type session struct {
	cluster    *cluster.Cluster
	record     *record.Record
	operator   *operator
	busyStores atomic.Int64
	// lifetimes holds a *sync.Mutex for each upstream that has become another run.
	lifetimes sync.Map
	// domains holds the number of faults that have a failure domain out of service now.
	domainsMu sync.Mutex
	domains   map[string]int
	// excess holds an *excess.Totals for each plan.Kind with callers outside the limits that was applied.
	excess sync.Map
	// exceeds is the number of faults with callers outside the limits so far, so that the IDs of their requests differ.
	exceeds atomic.Int64
}

// Run plays a plan and returns what callers and upstreams have seen, and which promises were not kept.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("create folder of the session: %w", err)
	}
	if err := os.WriteFile(filepath.Join(o.Folder, "plan.txt"), []byte(o.Plan.String()), 0o644); err != nil {
		return nil, fmt.Errorf("write plan: %w", err)
	}
	s := &session{record: record.New(), domains: map[string]int{}}
	second := 0
	if slices.ContainsFunc(o.Plan.Faults, func(f plan.Fault) bool { return f.Kind == plan.ChangeRoutes }) {
		second = secondUpstreams
	}
	c, err := cluster.Start(cluster.Options{
		Faults: standin.NewFaults(o.Plan.Seed, faultRates), Size: o.Plan.Size, Memory: o.Plan.Memory, Program: o.Program, Folder: o.Folder, Switch: switchBound, Events: eventsPerStream,
		Second: second, Observe: s.observe, BrokeOff: s.record.AddBrokenOff, OnExit: func(err error) { s.record.AddFault(err.Error()) },
	})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	s.cluster = c
	for name := range c.Processes {
		if !c.AwaitReady(name, startLimit) {
			return nil, fmt.Errorf("%w: %s, see its log in %s", ErrNotStarted, name, o.Folder)
		}
	}
	s.operator = newOperator(c.Site, s.record)
	s.play(ctx, o.Plan)
	s.recordAllMemory()
	for _, text := range c.WrongWeights(s.operator.newestVersion()) {
		s.record.AddFault(text)
	}
	seen := s.seen(o.Plan)
	return &Result{Plan: o.Plan, Seen: seen, Violations: check.Check(seen, check.DefaultBounds()), Excess: s.excessByKind()}, ctx.Err()
}

// play sends requests and applies the faults of a plan until both have ended.
func (s *session) play(ctx context.Context, p *plan.Plan) {
	ctx, cancel := context.WithTimeout(ctx, p.Time)
	defer cancel()
	var running sync.WaitGroup
	if p.Memory > 0 {
		running.Go(func() { s.measureMemory(ctx) })
	}
	perEntry := max(1, callersPerClass/p.Size.Entries)
	for i := range p.Size.Entries {
		for j, class := range classes {
			for k := range perEntry {
				c := &caller{
					session: s, name: fmt.Sprintf("e%d-%s-%d", i, class.name, k), process: plan.EntryName(i), class: class,
					rng: rand.New(rand.NewPCG(p.Seed, uint64((i*len(classes)+j)*perEntry+k+1))),
				}
				running.Go(func() { c.run(ctx) })
			}
		}
	}
	started := time.Now()
	for _, f := range p.Faults {
		if hub.Sleep(ctx, time.Until(started.Add(f.At))) != nil {
			break
		}
		// A fault that has begun ends also if the session is cancelled.
		running.Go(func() { s.apply(ctx, f) })
	}
	running.Wait()
}

// observe records a request at an upstream.
func (s *session) observe(a standin.Arrival) {
	domain, service := cluster.Place(a.Upstream)
	s.record.AddArrival(record.Arrival{
		At: s.record.Now(), RequestId: a.RequestId, Upstream: a.Upstream, Domain: domain, Service: service, Version: a.Version, Ran: a.Ran,
	})
}
