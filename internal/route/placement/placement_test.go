package placement_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/concurrency"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/standin/desired"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
)

const switchBound = 8 * time.Second

// fixture is a Placement for one service, named s, whose upstreams are engines.
type fixture struct {
	publisher desired.Publisher
	directory *directory.Directory
	placement *placement.Placement
	// reports is the number of reports delivered.
	reports uint64
	// entries is the number of entry processes. asked is called whenever it is asked for, if it is not nil.
	entries int
	asked   func()
	// turn is the place of the process in the order of the entry processes.
	turn placement.Turn
	// connections is the number of connections to each address that may be used, without a limit if not set.
	connections map[string]int
}

func withTestPlacement(t testing.TB) *fixture {
	t.Helper()
	c := catalog.New(1)
	f := &fixture{publisher: desired.Publisher{Catalog: c}, entries: 1}
	f.directory = directory.New(directory.Options{
		Catalog: c, Decoder: desired.Decoder{}, Regions: map[string]string{"a": "north", "b": "south"},
		Log: journal.Discard().Logger(journal.State),
	})
	f.placement = placement.New(placement.Options{
		Directory: f.directory, Domain: "a", Region: "north",
		SwitchBound: func() time.Duration { return switchBound },
		Entries: func() int {
			if f.asked != nil {
				f.asked()
			}
			return f.entries
		},
		Turn:      func() placement.Turn { return f.turn },
		RateShare: func(_ string, limit float64) float64 { return limit / float64(f.entries) },
		Connections: func(address string, limit int) int {
			if n, ok := f.connections[address]; ok {
				return n
			}
			return limit
		},
		Concurrency: concurrency.Settings{Enabled: true, InitialShare: 0.25},
	})
	engine := &hub.EngineModel{Model: "m", Slots: 4, ReadPerSecond: 10000, Pass: 50 * time.Millisecond, UsualPrompt: 1000, Layers: 2, Chunks: 2}
	f.publisher.PublishConfiguration(hub.Configuration{Version: 1, Services: []hub.Service{{Name: "s", ColdPerSecond: 10, Engine: engine}}})
	f.directives(hub.Directives{})
	return f
}

// engines lists n engines that serve version 1, alternating between the failure domains a and b.
func (f *fixture) engines(n int, cold time.Duration) {
	var instances []hub.Instance
	for i := range n {
		instances = append(instances, hub.Instance{
			Id: fmt.Sprintf("i%03d", i), Service: "s", Address: address(i), Domain: string("ab"[i%2]), Slots: 4, Born: 1, Cold: cold, Version: 1, Layers: 2,
		})
	}
	f.publisher.PublishUpstreams(instances...)
	f.refresh()
}

func (f *fixture) directives(d hub.Directives) {
	f.publisher.PublishDirectives(d)
	f.refresh()
}

func (f *fixture) refresh() {
	f.directory.Rebuild()
	f.placement.Refresh()
}

// report delivers a report of the engine with index i.
func (f *fixture) report(i int, r hub.UpstreamReport) {
	f.reports++
	f.placement.Report(hub.SentReport{UpstreamReport: r, Address: netip.MustParseAddrPort(address(i)), Number: f.reports})
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1) }

func requirements() *placement.Requirements {
	return &placement.Requirements{Service: "s", PromptTokens: 1000}
}

func (f *fixture) choose(t *testing.T, r *placement.Requirements) placement.Choice {
	t.Helper()
	c, ok := f.placement.Choose(r)
	assert.Assert(t, ok, "no upstream has room")
	return c
}

// An engine that has just restarted has no running requests. If only those counted, it would receive all new prompts at
// once.
func TestPendingPromptsCountMoreThanRunningRequests(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(2, 0)
	for i := range 2 {
		f.report(i, hub.UpstreamReport{Held: 1, Born: 1, Running: 3 * i})
	}
	counts := map[string]int{}
	for range 2 {
		c := f.choose(t, requirements())
		counts[c.Upstream.Id]++
	}
	assert.DeepEqual(t, counts, map[string]int{"i000": 1, "i001": 1})
}

// An upstream whose side process has not fetched the newer version while most have is behind a slow link. Requests sent
// to it shortly before the switch would arrive after its version may no longer serve. If no side process has fetched
// the newer version, all upstreams keep serving.
func TestOlderVersionsStopEarlierAtSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(3, 0)
		f.directives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		report := func(fetched ...uint64) {
			for i, version := range fetched {
				f.report(i, hub.UpstreamReport{Held: 1, Born: 1, Fetched: version})
			}
		}
		candidates := func() int {
			c := f.choose(t, requirements())
			defer c.Release()
			return c.Candidates
		}
		time.Sleep(switchBound - 1500*time.Millisecond)
		report(1, 1, 1)
		assert.Equal(t, candidates(), 3)
		report(2, 2, 1)
		assert.Equal(t, candidates(), 2)
		report(2, 2, 2)
		assert.Equal(t, candidates(), 3)
	})
}

// A request with a backlog limit must not be sent behind prompts that would delay it beyond the limit. Once these have
// been processed, the engine must be available again.
func TestBacklogLimit(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	r := requirements()
	r.Backlog = 50 * time.Millisecond
	first := f.choose(t, r)
	_, ok := f.placement.Choose(r)
	assert.Assert(t, !ok, "chose an engine whose waiting prompts exceed the allowed backlog")
	first.ResponseStarted()
	second := f.choose(t, r)
	second.Release()
	first.Release()
}

// An engine must not receive more requests than it has slots. It still counts as a candidate, so that callers learn that
// upstreams are busy and not that there is none.
func TestSlotLimit(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	for range 4 {
		c := f.choose(t, requirements())
		c.ResponseStarted()
	}
	c, ok := f.placement.Choose(requirements())
	assert.Assert(t, !ok)
	assert.Equal(t, c.Candidates, 1)
}

func TestEvacuatedDomainsAndRegions(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(2, 0)
	r := requirements()
	r.Regions = [][]string{{"south", "north"}, {"south"}}
	c := f.choose(t, r)
	assert.Equal(t, c.Upstream.Domain, "b")
	f.directives(hub.Directives{Evacuated: []string{"b"}})
	_, ok := f.placement.Choose(r)
	assert.Assert(t, !ok)
}

func TestLoadingEnginesReceiveNoRequests(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	f.report(0, hub.UpstreamReport{Held: 1, Busy: true, Born: 1})
	_, ok := f.placement.Choose(requirements())
	assert.Assert(t, !ok)
	f.report(0, hub.UpstreamReport{Held: 2, Born: 1})
	c := f.choose(t, requirements())
	assert.Equal(t, c.Held, uint64(2))
}

// An upstream with an older version must start its responses before the newer version is due, and receives no more
// requests shortly before that. Otherwise callers would receive responses of an outdated version.
func TestOlderVersionsStopInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, 0)
		f.directives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
		setAt := time.Now()
		c := f.choose(t, requirements())
		assert.Assert(t, c.StartBy.After(setAt) && c.StartBy.Before(setAt.Add(switchBound)))
		c.Release()
		time.Sleep(switchBound - 100*time.Millisecond)
		_, ok := f.placement.Choose(requirements())
		assert.Assert(t, !ok)
		f.report(0, hub.UpstreamReport{Held: 2, Born: 1})
		f.choose(t, requirements())
	})
}

// All entry processes together must not send a cold engine more than ColdPerSecond requests; this test has one process.
// The limit ends once the engine is warm.
func TestColdRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, 3*time.Second)
		sent := 0
		for range 100 {
			if c, ok := f.placement.Choose(requirements()); ok {
				sent++
				c.Release()
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, sent <= 11, sent)
		time.Sleep(3 * time.Second)
		for range 20 {
			c := f.choose(t, requirements())
			c.Release()
		}
	})
}

func TestReportOfAnotherInstanceIsIgnored(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	f.report(0, hub.UpstreamReport{Held: 0, Born: 99})
	f.choose(t, requirements())
}

func TestReleasedSlotEndsWait(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, 0)
	var taken []placement.Choice
	for range 4 {
		c := f.choose(t, requirements())
		c.ResponseStarted()
		taken = append(taken, c)
	}
	time.AfterFunc(5*time.Millisecond, taken[0].Release)
	c, err := f.placement.Acquire(context.Background(), requirements(), time.Minute)
	assert.NilError(t, err)
	c.Release()
}

// Without upstreams the error must be ErrNoUpstream and not ErrNoRoom, because callers would retry too early after it.
func TestNoUpstream(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(0, 0)
	_, err := f.placement.Acquire(context.Background(), requirements(), time.Millisecond)
	assert.Assert(t, errors.Is(err, placement.ErrNoUpstream), "%v", err)
}

// Guards against engines that count as loading although the request may not be sent there whatever they load, and against ones with
// weights that are due to be replaced which count as gone.
func TestEnginesThatLoadAreToldFromNone(t *testing.T) {
	for name, test := range map[string]struct {
		change func(f *fixture, r *placement.Requirements)
		want   error
	}{
		"loading": {func(f *fixture, _ *placement.Requirements) {
			f.report(0, hub.UpstreamReport{Held: 1, Busy: true, Born: 1})
		}, placement.ErrLoading},
		"without weights": {func(f *fixture, _ *placement.Requirements) { f.report(0, hub.UpstreamReport{Born: 1}) }, placement.ErrLoading},
		"older weights": {func(f *fixture, _ *placement.Requirements) {
			f.directives(hub.Directives{Targets: []hub.ModelTarget{{Model: "m", Version: 2}}})
			time.Sleep(switchBound)
		}, placement.ErrLoading},
		"leaving": {func(f *fixture, _ *placement.Requirements) {
			f.report(0, hub.UpstreamReport{Busy: true, Leaving: true, Born: 1})
		}, placement.ErrNoUpstream},
		"tried": {func(f *fixture, r *placement.Requirements) {
			f.report(0, hub.UpstreamReport{Busy: true, Born: 1})
			r.Tried = []directory.Key{{Id: "i000", Born: 1}}
		}, placement.ErrNoUpstream},
		"out of service": {func(f *fixture, _ *placement.Requirements) {
			f.report(0, hub.UpstreamReport{Busy: true, Born: 1})
			f.directives(hub.Directives{Evacuated: []string{"a"}})
		}, placement.ErrNoUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, r := withTestPlacement(t), requirements()
				f.engines(1, 0)
				test.change(f, r)
				_, err := f.placement.Acquire(t.Context(), r, 0)
				assert.Assert(t, errors.Is(err, placement.ErrNoUpstream), "%v", err)
				assert.Equal(t, errors.Is(err, placement.ErrLoading), test.want == placement.ErrLoading, "%v", err)
			})
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := withTestPlacement(b)
			f.engines(n, 0)
			b.ReportAllocs()
			for b.Loop() {
				if c, ok := f.placement.Choose(requirements()); ok {
					c.Release()
				}
			}
		})
	}
}
