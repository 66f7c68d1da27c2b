package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/internal/soak/proxy"
	"github.com/oriolehub/oriolehub/platform/standin"
)

func init() { cases["silent-store"] = silentStore }

const (
	// silentEngines is the number of model workers, silentCallers that of the callers at each edge machine.
	silentEngines = 16
	silentCallers = 3
	// originRate is the bandwidth of the origin of the small sites, 9.9 Mbit/s, in bytes a second.
	originRate = 9.9e6 / 8
	// versionBound is version_ms of the small sites.
	versionBound = 8 * time.Second
	// namedAfter is the time from the silence of the channels to the naming of a version.
	namedAfter = 50 * time.Millisecond
	// silentRounds is the number of versions that are named, each after a silence of its own; judgedTime the time for which the
	// requests after each are judged.
	silentRounds = 6
	judgedTime   = 10 * time.Second
	// silentCalm is the time without any disturbance before each silence, which is more than contact_ms.
	silentCalm = 5 * time.Second
)

// silentStore plays open channels to the store that go silent for good, while new ones work, and a version that is named right after.
func silentStore(d *deployment, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var begun []standin.Beginning
	site, err := standin.NewSite(standin.SiteOptions{Shape: standin.Shape{Chunks: 64, ChunkBytes: 32768}, OriginBytesPerSecond: originRate, Began: func(b standin.Beginning) {
		mu.Lock()
		defer mu.Unlock()
		begun = append(begun, b)
	}})
	if err != nil {
		return nil, err
	}
	d.site = site
	store, err := proxy.Listen("127.0.0.1:0", site.StoreAddress)
	if err != nil {
		return nil, err
	}
	defer store.Close()
	d.store = store.Address()
	for i := range silentEngines {
		e, at, err := site.AddEngine(fmt.Sprintf("engine-%d", i), address(100+i), "a", 1)
		if err != nil {
			return nil, err
		}
		e.SetEvents(12)
		if err := d.startSide(i, at); err != nil {
			return nil, err
		}
	}
	if err := d.startEntries(2); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	answered := 0
	for i := range 2 {
		for c := range silentCallers {
			running.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					if status, _ := d.ask(i, fmt.Sprintf("sound-%d", 1_000_000*i+100_000*c+n), "91bd3f06:40,aa:50", "draft"); status == http.StatusOK {
						mu.Lock()
						answered++
						mu.Unlock()
					}
				}
			})
		}
	}
	var broken []string
	for round := range silentRounds {
		version := uint64(round + 2)
		time.Sleep(silentCalm)
		if trouble {
			store.Silence()
			d.record.add("round %d: the open channels to the store go silent", round+1)
		}
		time.Sleep(namedAfter)
		site.SetTargetVersion(version)
		acked := time.Now()
		d.record.add("round %d: version %d is named", round+1, version)
		time.Sleep(judgedTime)
		mu.Lock()
		late, last, all := 0, time.Duration(0), 0
		for _, b := range begun {
			at := b.At.Sub(acked)
			if at < 0 {
				continue
			}
			all++
			if b.Version >= version {
				continue
			}
			last = max(last, at)
			if at > versionBound {
				late++
				d.record.add("round %d: %s began at %s on version %d, %.3f s after version %d was named", round+1, b.RequestId, b.Engine, b.Version, at.Seconds(), version)
			}
		}
		mu.Unlock()
		d.record.add("round %d: %d requests began, the last one on an older version %.3f s after the naming, %d later than %s", round+1, all, last.Seconds(), late, versionBound)
		if late > 0 {
			broken = append(broken, fmt.Sprintf("VERSION: round %d: %d requests began on an older version later than %s after version %d was named, up to %.3f s", round+1, late, versionBound, version, last.Seconds()))
		}
	}
	close(stop)
	running.Wait()
	d.record.add("%d requests answered", answered)
	if answered < 100 {
		return nil, fmt.Errorf("%w: %d requests were answered", errNotPlayed, answered)
	}
	return broken, nil
}
