package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolehub/oriolehub/internal/bench/deployment"
	"github.com/oriolehub/oriolehub/internal/bench/testbed"
	"github.com/oriolehub/oriolehub/internal/process/journal"
	"github.com/oriolehub/oriolehub/platform/standin"
)

const (
	// An upstream that names a rate limit may get limitTolerance times what it allows in limitWindow, and limitSlack
	// requests more, once limitGrace has passed since it named the limit.
	limitTolerance = 1.5
	limitSlack     = 5
	limitWindow    = 4 * time.Second
	limitGrace     = 3 * time.Second
	// callersPerEntry is the number of callers that send requests to each entry process without a pause.
	callersPerEntry = 4
	// callerPause is the time after which a caller that was refused sends the next request.
	callerPause = 5 * time.Millisecond
)

// arrivals records when requests reach upstreams.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) observe(x standin.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[x.Upstream] = append(a.at[x.Upstream], time.Now())
}

// most returns the largest number of requests that reached an upstream within limitWindow after since.
func (a *arrivals) most(upstream string, since time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := a.at[upstream]
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow || times[first].Before(since) && first < i {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// load sends requests to an entry process until ctx is done.
func load(ctx context.Context, entry, caller string) {
	paths := []struct{ method, path string }{
		{http.MethodPost, standin.Path}, {http.MethodPost, standin.AtMostOncePath}, {http.MethodGet, standin.LookupPath},
	}
	for i := 0; ctx.Err() == nil; i++ {
		p := paths[i%len(paths)]
		r, err := standin.Request(entry, p.method, p.path+"x", fmt.Sprintf("%s-%d", caller, i))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(callerPause)
	}
}

// Guards against entry processes that send an upstream more than the rate limit that it names for all of them together.
func TestEntriesTogetherKeepToTheRateLimitOfAnUpstream(t *testing.T) {
	for _, entries := range []int{1, 6, 12} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			const limit = 4.0
			seen := &arrivals{at: map[string][]time.Time{}}
			b, err := testbed.Start(testbed.Options{
				Places:  []deployment.Place{{Domain: "a", Region: "r-a"}, {Domain: "b", Region: "r-b"}},
				Entries: entries, Engines: 2, Plain: 2, Switch: 3 * time.Second, Journal: journal.Discard(),
				Site: standin.SiteOptions{Observe: seen.observe},
			})
			assert.NilError(t, err)
			t.Cleanup(b.Stop)
			assert.NilError(t, b.AwaitServing(t.Context(), testTimeout))
			limited := []string{"engine-0", "engine-1", "plain-0", "plain-1"}
			for _, name := range limited {
				b.Site.SetRateLimit(name, limit)
			}
			named := time.Now()
			ctx, cancel := context.WithDeadline(t.Context(), named.Add(limitGrace+limitWindow))
			defer cancel()
			var callers sync.WaitGroup
			for i, a := range b.Addresses {
				for j := range callersPerEntry {
					callers.Go(func() { load(ctx, a.Callers, fmt.Sprintf("caller-%d-%d", i, j)) })
				}
			}
			callers.Wait()
			allowed := limitTolerance*limit*limitWindow.Seconds() + limitSlack
			for _, name := range limited {
				most := seen.most(name, named.Add(limitGrace))
				assert.Check(t, most > 0 && float64(most) <= allowed, "%s got %d requests in %s, allowed %.0f", name, most, limitWindow, allowed)
			}
		})
	}
}
