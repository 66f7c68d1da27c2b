package placement_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/hub"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/internal/route/placement"
	"github.com/oriolehub/oriolehub/internal/state/catalog"
	"github.com/oriolehub/oriolehub/internal/state/directory"
	"github.com/oriolehub/oriolehub/internal/state/mirror"
	"github.com/oriolehub/oriolehub/platform"
)

const switchBound = 8 * time.Second

// fixture is a placement before the engines of one service.
type fixture struct {
	catalog   *catalog.Catalog
	directory *directory.Directory
	placement *placement.Placement
	revision  uint64
}

func withTestPlacement(t testing.TB) *fixture {
	f := &fixture{catalog: catalog.New(1), revision: 10}
	f.directory = directory.New(directory.Options{
		Catalog: f.catalog, Decoder: platform.Decoder{}, Regions: map[string]string{"a": "north", "b": "south"},
		Log: journal.Discard().Logger(journal.State),
	})
	f.placement = placement.New(placement.Options{
		Directory: f.directory, Domain: "a", Region: "north",
		SwitchBound: func() time.Duration { return switchBound }, Entries: func() int { return 1 },
	})
	f.put(mirror.DocumentConfiguration, []byte(`{"version":1,"services":[{"name":"s","cold_per_s":10,"engine":{"slots":4,
		"read_per_s":10000,"usual":{"prompt":1000,"answer":100},"models":[{"name":"m"}],"layers":2,"chunks":2}}]}`))
	f.put(mirror.DocumentDirectives, []byte("[]"))
	return f
}

func (f *fixture) put(name string, value []byte) {
	f.revision++
	f.catalog.PutDocument(hub.Document{Name: name, Revision: f.revision, Value: value})
	f.directory.Rebuild()
	f.placement.Refresh()
}

// engines lists n engines that hold version 1, in the failure domains a and b in turn; more is added to each entry.
func (f *fixture) engines(n int, more string) {
	var entries []mirror.Entry
	for i := range n {
		value := fmt.Sprintf(`{"service":"s","address":%q,"zone":%q,"slots":4,"state":"ready","born":1,
			"models":[{"name":"m","version":1}],"layers":{"from":0,"target":2,"version":1}%s}`, address(i), string("ab"[i%2]), more)
		entries = append(entries, mirror.Entry{Key: fmt.Sprintf("servers/i%03d", i), Value: []byte(value), Revision: f.revision})
	}
	data, _ := json.Marshal(entries)
	f.put(mirror.DocumentUpstreams, data)
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1) }

func (f *fixture) directives(values ...mirror.Entry) {
	data, _ := json.Marshal(values)
	f.put(mirror.DocumentDirectives, data)
}

func need() *placement.Need { return &placement.Need{Service: "s", PromptTokens: 1000} }

func (f *fixture) choose(t *testing.T, n *placement.Need) placement.Choice {
	t.Helper()
	c, ok := f.placement.Choose(n)
	assert.Assert(t, ok, "no upstream has room")
	return c
}

// An engine that has just come back with nothing running must not draw all prompts at once.
func TestUnreadPromptsCountMoreThanRunningRequests(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(2, "")
	for i := range 2 {
		f.placement.Report(address(i), hub.UpstreamReport{Held: 1, Born: 1, Running: 3 * i})
	}
	counts := map[string]int{}
	for range 2 {
		c := f.choose(t, need())
		counts[c.Upstream.Id]++
	}
	assert.DeepEqual(t, counts, map[string]int{"i000": 1, "i001": 1})
}

func TestBacklogIsNoRoom(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, "")
	n := need()
	n.Backlog = 50 * time.Millisecond
	first := f.choose(t, n)
	_, ok := f.placement.Choose(n)
	assert.Assert(t, !ok, "a prompt was sent behind another that takes longer to read than allowed")
	first.Begun()
	second := f.choose(t, n)
	second.Release()
	first.Release()
}

func TestSlotsBound(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, "")
	for range 4 {
		c := f.choose(t, need())
		c.Begun()
	}
	c, ok := f.placement.Choose(need())
	assert.Assert(t, !ok)
	assert.Equal(t, c.Candidates, 1)
}

func TestEvacuatedDomainsAndHomesBind(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(2, "")
	n := need()
	n.Regions = [][]string{{"south", "north"}, {"south"}}
	c := f.choose(t, n)
	assert.Equal(t, c.Upstream.Domain, "b")
	f.directives(mirror.Entry{Key: "op/evacuate/b", Value: []byte("{}")})
	_, ok := f.placement.Choose(n)
	assert.Assert(t, !ok)
}

func TestLoadingEnginesGetNothing(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, "")
	f.placement.Report(address(0), hub.UpstreamReport{Held: 1, Busy: true, Born: 1})
	_, ok := f.placement.Choose(need())
	assert.Assert(t, !ok)
	f.placement.Report(address(0), hub.UpstreamReport{Held: 2, Born: 1})
	c := f.choose(t, need())
	assert.Equal(t, c.Held, uint64(2))
}

// Before a version is due, an older one must have begun to answer; then it gets nothing.
func TestOlderVersionsStopInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, "")
		f.directives(mirror.Entry{Key: "op/version/m", Value: []byte(`{"model":"m","version":2}`)})
		named := time.Now()
		c := f.choose(t, need())
		assert.Assert(t, c.StartBy.After(named) && c.StartBy.Before(named.Add(switchBound)))
		c.Release()
		time.Sleep(switchBound - 100*time.Millisecond)
		_, ok := f.placement.Choose(need())
		assert.Assert(t, !ok)
		f.placement.Report(address(0), hub.UpstreamReport{Held: 2, Born: 1})
		f.choose(t, need())
	})
}

// All entry processes together must stay within the rate that a cold engine bears.
func TestColdEnginesAreSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := withTestPlacement(t)
		f.engines(1, `,"cold_left_ms":3000`)
		sent := 0
		for range 100 {
			if c, ok := f.placement.Choose(need()); ok {
				sent++
				c.Release()
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, sent <= 11, sent)
		time.Sleep(3 * time.Second)
		for range 20 {
			c := f.choose(t, need())
			c.Release()
		}
	})
}

func TestReportOfAnotherLifetimeIsNotTaken(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, "")
	f.placement.Report(address(0), hub.UpstreamReport{Held: 0, Born: 99})
	f.choose(t, need())
}

func TestWaitingEndsWhenAPlaceIsFree(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(1, "")
	var taken []placement.Choice
	for range 4 {
		c := f.choose(t, need())
		c.Begun()
		taken = append(taken, c)
	}
	time.AfterFunc(5*time.Millisecond, taken[0].Release)
	c, err := f.placement.Acquire(context.Background(), need(), time.Minute)
	assert.NilError(t, err)
	c.Release()
}

func TestNothingToWaitForIsTold(t *testing.T) {
	f := withTestPlacement(t)
	f.engines(0, "")
	_, err := f.placement.Acquire(context.Background(), need(), time.Millisecond)
	assert.Assert(t, errors.Is(err, placement.ErrNoUpstream), "%v", err)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := withTestPlacement(b)
			f.engines(n, "")
			b.ReportAllocs()
			for b.Loop() {
				if c, ok := f.placement.Choose(need()); ok {
					c.Release()
				}
			}
		})
	}
}
