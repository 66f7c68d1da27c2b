package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["whole"] = whole }

// whole freezes a side process while it stages the pieces of a new version, and lets a piece that it has staged turn bad at
// the beginning of the freeze.
func whole(s *site, trouble bool) (bool, error) {
	const (
		modelWorkers = 3
		freeze       = 4 * time.Second
		versions     = 4
		between      = 14 * time.Second
	)
	s.configure(5, 1200)
	var target atomic.Uint64
	var frozen atomic.Uint64
	frozen.Store(1)
	for range modelWorkers {
		if _, err := s.addWorker("llm", true, 16); err != nil {
			return false, err
		}
	}
	victim := s.workers[0]
	victim.onStage = func(w *worker, num int) {
		v := target.Load()
		if !trouble || num != pieces/2 || v == 0 || !frozen.CompareAndSwap(v-1, v) {
			return
		}
		side := s.sides[0]
		side.signal(syscall.SIGSTOP)
		time.AfterFunc(200*time.Millisecond, func() { w.spoil(3) })
		time.AfterFunc(freeze, func() { side.signal(syscall.SIGCONT) })
	}
	if err := s.startEntries(2); err != nil {
		return false, err
	}
	if err := s.startSides(); err != nil {
		return false, err
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	l := newLoad(s)
	ctx, cancel := context.WithCancel(context.Background())
	l.running.Go(func() {
		l.every(ctx, 50*time.Millisecond, time.Hour, "r", stream(func(n int) string { return fmt.Sprintf("aa01:40,c%06d:460", n) }))
	})
	time.Sleep(4 * time.Second)
	for v := uint64(2); v < 2+versions; v++ {
		target.Store(v)
		s.name(v)
		time.Sleep(between)
	}
	cancel()
	l.running.Wait()
	served, bad := 0, 0
	for _, runs := range s.runsOf() {
		for _, r := range runs {
			served++
			if r.bad != "" {
				bad++
			}
		}
	}
	answered := 0
	for _, a := range l.answers {
		if a.err == nil && a.status == http.StatusOK {
			answered++
		}
	}
	s.record.say("%d requests ran, %d of them on layers that were taken while a piece was spoilt; %d answered with 200", served, bad, answered)
	if served < 100 {
		return false, fmt.Errorf("the deployment did not serve")
	}
	return bad > 0, nil
}
