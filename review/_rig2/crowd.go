package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const (
	// crowdChannels is the number of channels of the crowd at each entry process, crowdTime the time for which it stays.
	crowdChannels = 1640
	crowdTime     = 45 * time.Second
	// crowdHeaderBytes is the length of the list of prompt parts that each request names. With it the request header stays
	// below max_header_bytes.
	crowdHeaderBytes = 15950
	// crowdBody is the length of the body that a request announces. All but the last byte is sent.
	crowdBody = 9000
)

// playCrowd lets a crowd of clients send requests of legal size whose list of prompt parts has very many short ones, and whose
// bodies stop just short of their end.
func playCrowd(w *world, trouble bool) (bool, error) {
	if err := w.start(size{entries: 2, engines: 4, plain: 3}, "key0abcdefgh"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	var streams, plain tally
	running.Go(func() { w.load(stop, 30, "POST", "/ask/x", &streams) })
	lost := w.keptChannels(stop, &running, &plain)
	time.Sleep(5 * time.Second)
	w.record.line("before: streams %v, plain requests %v, peaks %v", streams.take(), plain.take(), w.peaks())
	var open, sent atomic.Int64
	if trouble {
		for _, e := range w.entries {
			for i := range crowdChannels {
				running.Go(func() {
					time.Sleep(time.Duration(i) * 2 * time.Millisecond)
					for !isClosed(stop) {
						w.crowdRequest(stop, e.callers, &open, &sent)
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
		}
	}
	for began := time.Now(); time.Since(began) < crowdTime; {
		time.Sleep(5 * time.Second)
		w.record.line("crowd: %d channels open, %d requests sent so far; streams %v, plain requests %v, peaks %v", open.Load(), sent.Load(), streams.take(), plain.take(), w.peaks())
	}
	close(stop)
	running.Wait()
	return w.verdict(lost), nil
}

// crowdParts is the list of prompt parts in a request of the crowd.
var crowdParts = strings.Repeat("a,", crowdHeaderBytes/2)

// crowdRequest sends a request without the last byte of its body and waits until the process closes the channel.
func (w *world) crowdRequest(stop <-chan struct{}, address string, open, sent *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	open.Add(1)
	defer open.Add(-1)
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("POST /ask/x HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: 6000\r\n%s: m1\r\n%s: 300,48\r\n%s: %s\r\nAuthorization: Bearer key0abcdefgh\r\nContent-Length: %d\r\n\r\n%s",
		name("id"), id, name("wait"), name("model"), name("tokens"), name("parts"), crowdParts, crowdBody, strings.Repeat("x", crowdBody-1))
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	sent.Add(1)
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	}()
	select {
	case <-ended:
	case <-stop:
	}
}
