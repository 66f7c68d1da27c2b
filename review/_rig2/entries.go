package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

func init() { cases["entries"] = playEntries }

const (
	// oddEntries is the number of odd entries, oddBytes the length of each.
	oddEntries = 2000
	oddBytes   = 16000
	// entriesTime is the time for which the deployment is watched with them.
	entriesTime = 45 * time.Second
)

// playEntries lets another writer put entries that cannot be read among those of the workers.
func playEntries(w *world, trouble bool) (bool, error) {
	if err := w.start(size{entries: 3, engines: 6, plain: 3}, "key0abcdefgh"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var streams, plain tally
	running.Go(func() { w.load(stop, 60, "POST", "/ask/x", &streams) })
	lost := w.keptChannels(stop, &running, &plain)
	time.Sleep(5 * time.Second)
	w.record.line("before: streams %v, plain requests %v, peaks %v", streams.take(), plain.take(), w.peaks())
	began := time.Now()
	if trouble {
		for i := range oddEntries {
			value := make([]byte, oddBytes)
			_, _ = rand.Read(value)
			w.store.put(fmt.Sprintf("%sodd-%05d", name("servers"), i), value)
			time.Sleep(4 * time.Millisecond)
		}
		w.record.line("%d odd entries of %d bytes are in the store", oddEntries, oddBytes)
	}
	for time.Since(began) < entriesTime {
		time.Sleep(5 * time.Second)
		w.record.line("streams %v, plain requests %v, peaks %v", streams.take(), plain.take(), w.peaks())
	}
	close(stop)
	running.Wait()
	return w.verdict(lost), nil
}
