package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/platform/standin"
)

func init() { cases["drill"] = drill }

const (
	// evacuateBound is evacuate_ms of the small sites.
	evacuateBound = 5 * time.Second
	// copyAge is the age of the copy from which the store comes back, awayTime the time for which it is away.
	copyAge  = 7 * time.Second
	awayTime = time.Second
	// rewriteAfter is the time after the return of the store at which the operator has written again what it lost.
	rewriteAfter = 5 * time.Second
	// evacuatedZone is the zone that is out of service.
	evacuatedZone = "b"
)

// drill plays a drill in which the store loses an evacuation that it has acknowledged, and the operator writes it again some seconds after
// the store's return.
func drill(d *deployment, trouble bool) ([]string, error) {
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	site, err := standin.NewSite(standin.SiteOptions{Observe: func(a standin.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[a.Upstream] = append(arrivals[a.Upstream], time.Now())
	}})
	if err != nil {
		return nil, err
	}
	d.site, d.zones = site, []string{"a", evacuatedZone}
	for name, zone := range map[string]string{"desk-a1": "a", "desk-a2": "a", "desk-b1": evacuatedZone, "desk-b2": evacuatedZone} {
		if err := site.AddPlainUpstream(name, "127.0.0.1", zone); err != nil {
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
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(askInterval):
				}
				if d.askWith(i, standin.Key, fmt.Sprintf("ordinary-%d-%d", i, n)) == http.StatusOK {
					mu.Lock()
					answered++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	older := site.Store.Copy()
	site.Evacuate(evacuatedZone, true)
	evacuated := time.Now()
	d.record.add("evacuation of zone %s acknowledged", evacuatedZone)
	time.Sleep(copyAge)
	var returned time.Time
	if trouble {
		d.record.add("the store is away")
		site.Store.Fail(http.StatusServiceUnavailable)
		time.Sleep(awayTime)
		lost := site.Store.Restore(older)
		site.Store.Fail(0)
		returned = time.Now()
		d.record.add("the store is back, from a copy that is %s old", copyAge+awayTime)
		time.Sleep(rewriteAfter)
		site.Store.WriteAgain(lost)
		d.record.add("the operator has written again what was lost")
	} else {
		time.Sleep(awayTime + rewriteAfter)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, excused := 0, 0
	var first, last time.Duration
	for name, times := range arrivals {
		for _, at := range times {
			if name[:6] != "desk-b" || at.Sub(evacuated) <= evacuateBound {
				continue
			}
			if !returned.IsZero() && at.Sub(returned) < contact {
				excused++
				continue
			}
			since := at.Sub(evacuated)
			if late == 0 || since < first {
				first = since
			}
			last = max(last, since)
			late++
		}
	}
	d.record.add("%d requests answered; %d reached workers of zone %s while the store was disturbed or less than %s later, %d after that", answered, excused, evacuatedZone, contact, late)
	if answered < 100 {
		return nil, fmt.Errorf("%w: %d requests were answered", errNotPlayed, answered)
	}
	if late > 0 {
		return []string{fmt.Sprintf("EVAC: %d requests reached workers of an evacuated zone from machines in touch, %.3f to %.3f s after the evacuation was acknowledged", late, first.Seconds(), last.Seconds())}, nil
	}
	return nil, nil
}
