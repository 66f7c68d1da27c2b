package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = playHeads }

const (
	// headsBefore is the time before the engines are in trouble, headsTime that for which they are.
	headsBefore = 8 * time.Second
	headsTime   = 40 * time.Second
	// streamsPerSecond are the streams that all clients ask for, about as many as on the smaller sheet.
	streamsPerSecond = 250
	// firstHeadBytes is what a worker in trouble sends at once, headRate what it sends from then on in bytes per second.
	firstHeadBytes = 240 << 10
	headRate       = 1 << 10
)

// endlessHead is the beginning of an answer whose head has no end: short fields, no two alike.
var endlessHead = sync.OnceValue(func() string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 36 * 36 * 36; b.Len() < firstHeadBytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
})

// writeEndlessHead sends header fields until the other side closes the channel.
func writeEndlessHead(c net.Conn, _ *worker) {
	defer c.Close()
	if _, err := c.Write([]byte(endlessHead())); err != nil {
		return
	}
	go func() { // Notices that the other side has closed the channel.
		var b [1]byte
		_, _ = c.Read(b[:])
		_ = c.Close()
	}()
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(c, "zz%d:\r\n", i); err != nil {
			return
		}
		time.Sleep(time.Second * 8 / headRate)
	}
}

// playHeads lets the engines send bytes that are no answer, without end, in the head of their answers.
func playHeads(w *world, trouble bool) (bool, error) {
	if err := w.start(size{entries: 3, engines: 16, plain: 3}, "key0abcdefgh"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var streams, plain tally
	running.Go(func() { w.load(stop, streamsPerSecond, "POST", "/ask/x", &streams) })
	lost := w.keptChannels(stop, &running, &plain)
	time.Sleep(headsBefore)
	w.record.line("before: streams %v, plain requests %v, peaks %v", streams.take(), plain.take(), w.peaks())
	if trouble {
		w.record.line("the engines send header fields without end")
		for _, e := range w.workers {
			e.head = writeEndlessHead
			e.troubled.Store(e.engine())
		}
	}
	for time.Since(began) < headsBefore+headsTime {
		time.Sleep(5 * time.Second)
		w.record.line("requests at engines in trouble so far %d; streams %v, plain requests %v, peaks %v", w.troubled.Load(), streams.take(), plain.take(), w.peaks())
	}
	close(stop)
	running.Wait()
	return w.verdict(lost), nil
}

// endedByThemselves reports whether processes of two machines or more have ended by themselves three times.
func (w *world) endedByThemselves() bool {
	machines := 0
	for _, p := range w.processes {
		ends, overs := p.counts()
		w.record.line("%s has ended by itself %d times, %d of them over its memory; peak %d MiB of %d", p.id, ends, overs, p.peakMegabytes(), p.memory)
		if ends >= 3 {
			machines++
		}
	}
	return machines >= 2 && machines*10 >= len(w.processes)
}

// peaks returns the highest memory of the processes so far in MiB.
func (w *world) peaks() string {
	var entries, sides int64
	for _, p := range w.processes {
		if p.role == "entry" {
			entries = max(entries, p.peakMegabytes())
		} else {
			sides = max(sides, p.peakMegabytes())
		}
	}
	return fmt.Sprintf("entry %d MiB, side %d MiB", entries, sides)
}

// tally counts answers by status.
type tally struct {
	mu     sync.Mutex
	counts map[int]int
	failed int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[int]int{}
	}
	if a.err != nil {
		t.failed++
		return
	}
	t.counts[a.status]++
}

// take returns the counts since the last call.
func (t *tally) take() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := fmt.Sprintf("%v, %d without an answer", t.counts, t.failed)
	t.counts, t.failed = nil, 0
	return out
}

// load sends requests at a rate until stop is closed, and waits for their answers.
func (w *world) load(stop <-chan struct{}, perSecond int, method, path string, t *tally) {
	var running sync.WaitGroup
	var open atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			running.Wait()
			return
		case <-ticker.C:
		}
		if open.Load() > 2000 {
			continue
		}
		open.Add(1)
		running.Go(func() {
			defer open.Add(-1)
			t.add(w.send(w.entries[i%len(w.entries)].callers, method, path, "key0abcdefgh"))
		})
	}
}
