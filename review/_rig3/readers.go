package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/proxy"
	"github.com/oriolehub/oriolehub/platform/standin"
)

func init() { cases["lost-readers"] = lostReaders }

const (
	// readersEntries is the number of edge machines, of one zone. Two of them are disturbed at once.
	readersEntries = 6
	// configBound is config_ms of the small sites.
	configBound = 2 * time.Second
	// calmTime is the time without any disturbance before each one: more than twice contact_ms.
	calmTime = 8 * time.Second
	// changeAfter is the time from a disturbance to the change of the desired state.
	changeAfter = 50 * time.Millisecond
	// watchTime is the time for which the other machines are asked after a change, askInterval that between two requests.
	watchTime   = 6 * time.Second
	askInterval = 20 * time.Millisecond
)

// disturbedPair is what happens in a round to two machines, by their indexes: they are lost, or the store falls silent for them.
type disturbedPair struct {
	machines []int
	silent   bool
}

// disturbedPairs are the pairs by round. No machine but these is disturbed.
var disturbedPairs = []disturbedPair{
	{machines: []int{0, 1}},
	{machines: []int{2, 3}},
	{machines: []int{0, 1}},
	{machines: []int{0, 1}, silent: true},
}

// lostReaders plays the loss of two of six edge machines at once, or a store that falls silent for two of them, after which the operator
// takes away a key and adds another. The store is sound all the while for the other machines, which run and are reached.
func lostReaders(d *deployment, trouble bool) ([]string, error) {
	site, err := standin.NewSite(standin.SiteOptions{})
	if err != nil {
		return nil, err
	}
	d.site = site
	for i := range 3 {
		if err := site.AddPlainUpstream(fmt.Sprintf("desk-%d", i), "127.0.0.1", "a"); err != nil {
			return nil, err
		}
	}
	var paths []*proxy.Proxy
	for range readersEntries {
		path, err := proxy.Listen("127.0.0.1:0", site.StoreAddress)
		if err != nil {
			return nil, err
		}
		defer path.Close()
		paths = append(paths, path)
		d.stores = append(d.stores, path.Address())
	}
	if err := d.startEntries(readersEntries); err != nil {
		return nil, err
	}
	var broken []string
	key := standin.Key
	for round, pair := range disturbedPairs {
		time.Sleep(calmTime)
		if trouble {
			for _, i := range pair.machines {
				d.disturb(round, i, pair.silent, paths[i])
			}
		}
		time.Sleep(changeAfter)
		next := fmt.Sprintf("key-of-round-%d", round+1)
		site.Configure(round+2, next)
		acked := time.Now()
		d.record.add("round %d: desired state %d acknowledged: %s withdrawn, %s added", round+1, round+2, key, next)
		broken = append(broken, d.askOthers(round, pair.machines, key, next, acked)...)
		key = next
		for _, i := range pair.machines {
			paths[i].Set(proxy.Pass)
			if trouble && !pair.silent {
				<-d.processes[i].done
				if err := d.processes[i].start(); err != nil {
					return nil, err
				}
			}
		}
		for _, i := range pair.machines {
			if err := awaitReady(address(i) + portReady); err != nil {
				return nil, err
			}
		}
	}
	return broken, nil
}

// disturb kills the process of an edge machine, or lets the store fall silent for it.
func (d *deployment) disturb(round, i int, silent bool, path *proxy.Proxy) {
	if silent {
		path.Set(proxy.Cut)
		d.record.add("round %d: the store is silent for edge-a-%d", round+1, i+1)
		return
	}
	_ = d.processes[i].cmd.Process.Signal(syscall.SIGKILL)
	d.record.add("round %d: edge-a-%d is lost", round+1, i+1)
}

// askOthers sends requests with the withdrawn and the added key to the machines that are not disturbed, and returns how they broke the rule.
func (d *deployment) askOthers(round int, disturbed []int, withdrawn, added string, acked time.Time) []string {
	var running sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for i := range readersEntries {
		if slices.Contains(disturbed, i) {
			continue
		}
		running.Go(func() {
			// The times from the acknowledgement to the last requests that were handled by the older desired state.
			var served, denied time.Duration
			late := 0
			for n := 0; time.Since(acked) < watchTime; n++ {
				sent := time.Since(acked)
				if d.askWith(i, withdrawn, fmt.Sprintf("withdrawn-%d-%d-%d", round, i, n)) == http.StatusOK {
					served = sent
					if sent > configBound {
						late++
					}
				}
				sent = time.Since(acked)
				if d.askWith(i, added, fmt.Sprintf("added-%d-%d-%d", round, i, n)) == http.StatusUnauthorized {
					denied = sent
					if sent > configBound {
						late++
					}
				}
				time.Sleep(askInterval)
			}
			d.record.add("round %d: edge-a-%d served the withdrawn key in requests sent until %.3f s after the acknowledgement and denied the added key until %.3f s", round+1, i+1, served.Seconds(), denied.Seconds())
			if late > 0 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("CONFIG: round %d: edge-a-%d, undisturbed, handled %d requests by the older desired state that were sent later than %s after the acknowledgement of the newer one, up to %.3f s", round+1, i+1, late, configBound, max(served, denied).Seconds()))
			}
		})
	}
	running.Wait()
	return broken
}

// askWith sends a lookup with a key to an entry process and returns the status, 0 for none.
func (d *deployment) askWith(entry int, key, id string) int {
	r, err := standin.Request(address(entry)+portCallers, http.MethodGet, standin.LookupPath+"last", id)
	if err != nil {
		return 0
	}
	standin.SetKey(r, key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
