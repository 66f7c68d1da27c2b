package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oriolehub/oriolehub/platform/standin"
)

func init() { cases["deadly"] = deadly }

const (
	deadlyEngines = 6
	// contact is contact_ms of the small sites.
	contact = 3 * time.Second
	// downTime is the time after which a crashed worker is back.
	downTime = 2 * time.Second
	// deadlyInterval is the time between two copies of the deadly request.
	deadlyInterval = 1500 * time.Millisecond
	// mostRetries is the number of copies that may reach workers later than contact after the third crash.
	mostRetries = 3
	// sharedPart is the first part of all prompts.
	sharedPart = "91bd3f06:40"
)

// reached are the crashes by the request that caused them.
type reached struct {
	mu      sync.Mutex
	crashes int
	third   time.Time
	late    map[string]int
	all     map[string]int
}

// deadly plays one request that crashes each worker that begins to run it, and that comes again and again: same path, caller and body.
// The last part of its prompt, which belongs to the request itself, is another one each time, as it is for all requests here.
func deadly(d *deployment, trouble bool) ([]string, error) {
	proxies := map[string]*crashProxy{}
	defer func() {
		for _, p := range proxies {
			p.close()
		}
	}()
	site, err := standin.NewSite(standin.SiteOptions{Front: func(name, target string) (string, error) {
		if !strings.HasPrefix(name, "engine-") {
			return target, nil
		}
		var i int
		_, _ = fmt.Sscanf(name, "engine-%d", &i)
		p, err := listenCrash(address(100+i)+":8001", target)
		proxies[name] = p
		return address(100+i) + ":8001", err
	}})
	if err != nil {
		return nil, err
	}
	d.site = site
	seen := &reached{late: map[string]int{}, all: map[string]int{}}
	for i := range deadlyEngines {
		name := fmt.Sprintf("engine-%d", i)
		e, at, err := site.AddEngine(name, "127.0.0.1", "a", 1)
		if err != nil {
			return nil, err
		}
		e.SetEvents(12)
		p := proxies[name]
		p.crashed = func(id string) {
			seen.add(id)
			d.record.add("%s has crashed as it began to run %s", name, id)
			go func() {
				time.Sleep(downTime)
				site.Restart(name)
				if err := p.listen(); err != nil {
					d.record.add("%s: %v", name, err)
				}
			}()
		}
		if err := d.startSide(i, at); err != nil {
			return nil, err
		}
	}
	if err := d.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var ok, not int
	var mu sync.Mutex
	for i := range 2 {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(120 * time.Millisecond):
				}
				status, _ := d.ask(i, fmt.Sprintf("sound-%d", 2*n+i), fmt.Sprintf("%s,%07x:50", sharedPart, 0x1000000+2*n+i), "a sound request")
				mu.Lock()
				if status == http.StatusOK {
					ok++
				} else {
					not++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	body := "the same request each time, " + crashMark
	if !trouble {
		body = "the same request each time"
	}
	for n := range 16 {
		id := fmt.Sprintf("deadly-%d", n)
		status, text := d.ask(n%2, id, fmt.Sprintf("%s,%07x:50", sharedPart, 0x2000000+n), body)
		d.record.add("%s sent to edge-a-%d: %d %s; crashed %d workers", id, n%2+1, status, strings.TrimSpace(text), seen.of(id))
		time.Sleep(deadlyInterval)
	}
	close(stop)
	running.Wait()
	d.record.add("sound requests: %d answered, %d not", ok, not)
	if ok < 50 {
		return nil, fmt.Errorf("%w: %d sound requests were answered", errNotPlayed, ok)
	}
	d.record.add("%d crashes; later than %s after the third, %d copies of the request reached workers: %v", seen.crashes, contact, len(seen.late), seen.late)
	if len(seen.late) > mostRetries {
		return []string{fmt.Sprintf("BUDGET: a request under which three workers had crashed reached workers in %d retries later than %s after that, %d workers crashed in all", len(seen.late), contact, seen.crashes)}, nil
	}
	return nil, nil
}

func (s *reached) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.all[id]++
	if s.crashes == 3 {
		s.third = time.Now()
	}
	if s.crashes > 3 && time.Since(s.third) > contact {
		s.late[id]++
	}
}

func (s *reached) of(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[id]
}

// ask sends a request of the streaming route to an entry process and returns its status and body.
func (d *deployment) ask(entry int, id, parts, body string) (int, string) {
	r, err := standin.Request(address(entry)+portCallers, http.MethodPost, standin.Path+"draft", id)
	if err != nil {
		return 0, err.Error()
	}
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	standin.SetParts(r, parts)
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if resp.StatusCode == http.StatusOK {
		return resp.StatusCode, "answered"
	}
	return resp.StatusCode, string(text)
}
