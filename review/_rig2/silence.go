package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["silence"] = playSilence }

// Bounds of the deployment.
const (
	contactTime = 3 * time.Second
	configTime  = 2 * time.Second
)

const (
	silenceRounds = 11
	roundTime     = 9 * time.Second
)

// playSilence makes the open channels of all machines go silent, withdraws an API key right after it and uses the key once the
// machines are in touch again and the change must be in force.
func playSilence(w *world, trouble bool) (bool, error) {
	var keys []string
	for i := range silenceRounds + 1 {
		keys = append(keys, fmt.Sprintf("key%dabcdefgh", i))
	}
	if err := w.start(size{entries: 3, engines: 3, plain: 3}, keys...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	isBroken := false
	for round := range silenceRounds {
		began := time.Now()
		time.Sleep(rand.N(2500 * time.Millisecond))
		silentAt := time.Now()
		if trouble {
			w.silence()
			w.record.line("round %d: the open channels of all machines are silent, new ones work", round)
		}
		time.Sleep(100 * time.Millisecond)
		key := keys[0]
		keys = keys[1:]
		ackAt := w.configure(keys...)
		w.record.line("round %d: desired state %d acknowledged, without key %s", round, w.version, key)
		from := ackAt.Add(configTime)
		if touch := silentAt.Add(contactTime); trouble && touch.After(from) {
			from = touch
		}
		from = from.Add(100 * time.Millisecond)
		time.Sleep(time.Until(from))
		if w.useWithdrawn(round, key, ackAt, silentAt) {
			isBroken = true
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return isBroken, nil
}

// useWithdrawn sends requests with a withdrawn key to all entry processes for a while and reports whether any has run.
func (w *world) useWithdrawn(round int, key string, ackAt, silentAt time.Time) bool {
	var mu sync.Mutex
	isBroken := false
	var running sync.WaitGroup
	for _, e := range w.entries {
		running.Go(func() {
			for range 25 {
				a := w.send(e.callers, "GET", "/lookup/x", key)
				runs := w.runsOf(a.id)
				w.record.line("round %d: %s sent to %s %.3f s after the ack, %.3f s after the silence: status %d %v, run by %v",
					round, a.id, e.process.id, a.sentAt.Sub(ackAt).Seconds(), a.sentAt.Sub(silentAt).Seconds(), a.status, a.err, runs)
				if len(runs) > 0 {
					mu.Lock()
					isBroken = true
					mu.Unlock()
				}
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return isBroken
}
