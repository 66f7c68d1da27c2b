package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptClients is the number of clients with a kept channel at each entry process, keptInterval the time between two requests
	// of one.
	keptClients  = 8
	keptInterval = 300 * time.Millisecond
	// lostAllowed is the number of requests of kept channels that a process may pass on and close the channel without an answer.
	lostAllowed = 3
)

// keptChannels starts clients that send requests which must not run twice on kept channels, until stop is closed. It returns
// the number of those that a sound worker has run and whose channel was closed without an answer.
func (w *world) keptChannels(stop <-chan struct{}, running *sync.WaitGroup, t *tally) *atomic.Int64 {
	lost := &atomic.Int64{}
	for _, e := range w.entries {
		for i := range keptClients {
			running.Go(func() {
				time.Sleep(time.Duration(i) * keptInterval / keptClients)
				for !isClosed(stop) {
					w.useChannel(stop, e, t, lost)
					time.Sleep(keptInterval)
				}
			})
		}
	}
	return lost
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// useChannel opens a channel to an entry process and sends one request after the other on it until it is closed.
func (w *world) useChannel(stop <-chan struct{}, e *entryAddress, t *tally, lost *atomic.Int64) {
	c, err := net.DialTimeout("tcp", e.callers, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; !isClosed(stop); n++ {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
		sentAt := time.Now()
		_ = c.SetDeadline(sentAt.Add(2500 * time.Millisecond))
		_, err := fmt.Fprintf(c, "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: 2500\r\nAuthorization: Bearer key0abcdefgh\r\nContent-Length: 600\r\n\r\n%0600d", name("id"), id, name("wait"), n)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			t.add(answer{err: err})
			runs := w.runsOf(id)
			if len(runs) == 0 || n == 0 {
				w.record.line("request %s, number %d of its channel to %s: sent, not answered: %v, run by %v", id, n+1, e.process.id, err, runs)
			} else {
				lost.Add(1)
				w.record.line("lost: request %s, number %d of its channel to %s, was run by %v, and the channel ended %.3f s after it was sent without an answer: %v",
					id, n+1, e.process.id, runs, time.Since(sentAt).Seconds(), err)
			}
			return
		}
		t.add(answer{status: resp.StatusCode})
		w.record.line("request %s, number %d of its channel to %s: sent, answered with %d after %.3f s, run by %v",
			id, n+1, e.process.id, resp.StatusCode, time.Since(sentAt).Seconds(), w.runsOf(id))
		if resp.Close {
			return
		}
		time.Sleep(keptInterval)
	}
}

// verdict reports whether the processes have lost more requests than they may, or ended by themselves too often.
func (w *world) verdict(lost *atomic.Int64) bool {
	ended := w.endedByThemselves()
	w.record.line("LOST: %d requests of kept channels were run by a sound worker and not answered, %d are allowed", lost.Load(), lostAllowed)
	w.record.line("Fault: processes of two machines or more, and of a tenth of all, have ended by themselves three times or more: %v", ended)
	return lost.Load() > lostAllowed
}
