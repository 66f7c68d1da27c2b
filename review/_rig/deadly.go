package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["deadly-kept"] = func(s *site, trouble bool) (bool, error) { return deadly(s, trouble, false) }
	scenarios["deadly-unframed"] = func(s *site, trouble bool) (bool, error) { return deadly(s, trouble, true) }
}

const deadlyPart = "dead01"

// deadly plays requests with a part of a prompt that crashes each worker that begins to write an answer on it, beside
// sound requests that share the first part. With unframed, all answers end with their channel.
func deadly(s *site, trouble, unframed bool) (bool, error) {
	const (
		modelWorkers = 8
		back         = 3 * time.Second
		before       = 10 * time.Second
		during       = 30 * time.Second
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
		w.hook, w.events, w.pause, w.unframed = hook, 6, 5*time.Millisecond, unframed
		if unframed {
			w.first, w.pause = 100*time.Millisecond, 60*time.Millisecond
		}
	}
	if err := s.startEntries(3); err != nil {
		return false, err
	}
	if err := s.startSides(); err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	l := newLoad(s)
	ctx := context.Background()
	var feeding sync.WaitGroup
	feeding.Go(func() {
		l.every(ctx, 5*time.Millisecond, before+during, "sound", stream(func(n int) string { return fmt.Sprintf("aa01:40,b%03d:400,c%06d:60", n%20, n) }))
	})
	time.Sleep(before)
	troubled := time.Now()
	if trouble {
		l.every(ctx, 2*time.Second, during, "deadly", stream(func(n int) string { return fmt.Sprintf("aa01:40,%s:400,d%06d:60", deadlyPart, n) }))
	}
	ended := time.Now()
	feeding.Wait()
	l.running.Wait()
	return judgeDeadly(s, l, crashes, troubled, ended)
}

func judgeDeadly(s *site, l *load, crashes []time.Time, troubled, ended time.Time) (bool, error) {
	runs := s.runsOf()
	began := func(from, until time.Time) (began, sent int) {
		for id, at := range l.sent {
			if !strings.HasPrefix(id, "sound") || at.Before(from) || at.After(until) {
				continue
			}
			sent++
			if len(runs[id]) > 0 {
				began++
			}
		}
		return began, sent
	}
	b, n := began(troubled.Add(-5*time.Second), troubled)
	s.record.say("before the trouble %d of %d sound requests began at the first attempt", b, n)
	if float64(b) < 0.95*float64(n) || n < 20 {
		return false, fmt.Errorf("the deployment did not serve before the trouble")
	}
	s.record.say("crashes: %d", len(crashes))
	if len(crashes) == 0 {
		return false, nil
	}
	fifth := crashes[min(5, len(crashes))-1]
	late := 0
	for _, a := range s.arrivals {
		if len(crashes) >= 5 && strings.Contains(a.parts, deadlyPart) && a.at.After(fifth.Add(contact)) {
			late++
		}
	}
	s.record.say("BUDGET: %d requests with the part reached workers later than %v after the fifth crash; allowed are 3", late, contact)
	d, m := began(fifth.Add(2*contact), ended)
	s.record.say("LOST: from %v after the fifth crash, or the last of fewer, %d of %d sound requests with the same first part began at the first attempt", 2*contact, d, m)
	lost := n >= 20 && m >= 20 && float64(d)/float64(m) < 0.5*float64(b)/float64(n)
	if lost {
		s.record.say("LOST is broken")
	}
	if late > 3 {
		s.record.say("BUDGET is broken")
	}
	return lost || late > 3, nil
}
