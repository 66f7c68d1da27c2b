package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["probes"] = probes }

// probes plays requests with a part that crashes workers, the first few at one machine, until after the time for which the
// entry processes refuse them has ended. Their clients come back once when they are told to, as the pages say.
func probes(s *site, trouble bool) (bool, error) {
	const (
		modelWorkers = 10
		entries      = 5
		back         = 3 * time.Second
		first        = 6
		pause        = 100 * time.Millisecond
		length       = 98 * time.Second
		budget       = 6 * time.Second
	)
	var mu sync.Mutex
	var crashes []time.Time
	hook := func(w *worker, _ http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.Header.Get(name("parts")), deadlyPart+":") {
			return false
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		w.crash(back)
		panic(http.ErrAbortHandler)
	}
	s.configure(5, 1200)
	for range modelWorkers {
		w, err := s.addWorker("llm", true, 16)
		if err != nil {
			return false, err
		}
		w.hook, w.events = hook, 6
	}
	if err := s.startEntries(entries); err != nil {
		return false, err
	}
	if err := s.startSides(); err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	l := newLoad(s)
	l.running.Go(func() {
		l.every(ctx, 50*time.Millisecond, length, "sound", stream(func(n int) string { return fmt.Sprintf("aa01:40,b%03d:400,c%06d:60", n%20, n) }))
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	number := 0
	send := func() {
		number++
		n := number
		l.running.Go(func() {
			ends := time.Now().Add(budget)
			for try := range 2 {
				id := fmt.Sprintf("deadly%05d-%d", n, try)
				set := func(h http.Header) {
					h.Set(name("model"), "m0")
					h.Set(name("usage"), "500,70")
					h.Set(name("parts"), fmt.Sprintf("aa01:40,%s:400,d%06d:60", deadlyPart, n))
				}
				p := s.entries[(n+2*try)%entries]
				if n <= first {
					p = s.entries[0]
				}
				a := s.call(ctx, client, p, http.MethodPost, "note.example", "/note/x", id, time.Until(ends), set, nil)
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				wait := time.Duration(after * float64(time.Second))
				if a.status != http.StatusServiceUnavailable || err != nil || wait > time.Until(ends)/3 {
					return
				}
				time.Sleep(wait)
			}
		})
	}
	for trouble && ctx.Err() == nil {
		if number == 0 {
			for range first - 1 {
				send()
			}
		}
		send()
		time.Sleep(pause)
	}
	<-ctx.Done()
	l.running.Wait()
	s.record.say("crashes: %d", len(crashes))
	if len(crashes) < 5 {
		return false, nil
	}
	late := 0
	for _, a := range s.arrivals {
		if strings.Contains(a.parts, deadlyPart) && a.at.After(crashes[4].Add(contact)) {
			late++
			s.record.add("BUDGET: request %s with the part reached worker %s %.3f s after the fifth crash", a.id, a.worker, a.at.Sub(crashes[4]).Seconds())
		}
	}
	s.record.say("BUDGET: %d requests with the part reached workers later than %v after the fifth crash; allowed are 3", late, contact)
	return late > 3, nil
}
