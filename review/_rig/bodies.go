package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["bodies"] = bodies }

const (
	maxBodyBytes = 4194304
	memoryMB     = 284
)

// anonymousMB returns the resident memory of a process in MiB, without the pages of its program file.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// paced is a body of a length that is sent at a rate.
type paced struct {
	left int
	rate float64
	next time.Time
}

func (p *paced) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := min(len(b), p.left, 16<<10)
	time.Sleep(time.Until(p.next))
	p.next = time.Now().Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	p.left -= n
	return n, nil
}

// bodies plays as many clients as those of a zone in a burst, each with a body of the largest allowed length, against one
// entry process, beside clients with small bodies. The platform ends a process that exceeds its memory.
func bodies(s *site, trouble bool) (bool, error) {
	const (
		clients      = 56
		smallClients = 15
		linkRate     = 100e6
		before       = 3 * time.Second
		length       = 15 * time.Second
	)
	s.configure(5, 2000)
	for range 8 {
		w, err := s.addWorker("llm", true, 16)
		if err != nil {
			return false, err
		}
		w.events, w.pause = 24, 40*time.Millisecond
	}
	for range 3 {
		w, err := s.addWorker("desk", false, 6)
		if err != nil {
			return false, err
		}
		w.work = func(*http.Request) time.Duration { return 200 * time.Millisecond }
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
	bodyBytes := 600
	if trouble {
		bodyBytes = maxBodyBytes
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	p := s.entries[2] // the only one of its zone
	client := newClient()
	started := time.Now()
	var running sync.WaitGroup
	var mu sync.Mutex
	var killed time.Time
	outcomes, lost := map[string]int{}, 0
	for c := range clients + smallClients {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%02d-%04d", c, n)
				body := &paced{left: bodyBytes, rate: linkRate / clients}
				if c >= clients || time.Since(started) < before {
					body = &paced{left: 600, rate: linkRate / clients}
				}
				set := func(h http.Header) { h.Set(name("usage"), "500,70") }
				host, path, wait := "note.example", "/note/x", 6*time.Second
				if c >= clients {
					host, path, wait = "desk.example", "/issue/x", 2500*time.Millisecond
				}
				a := s.call(context.Background(), client, p, http.MethodPost, host, path, id, wait, set, body)
				ran := len(s.runsOf()[id]) > 0
				mu.Lock()
				switch {
				case a.err == nil:
					outcomes[fmt.Sprint(a.status)]++
				case ran && !killed.IsZero() && a.status == 0:
					lost++
					outcomes["no answer though a worker ran it"]++
				default:
					outcomes["no answer"]++
				}
				ended := !killed.IsZero()
				mu.Unlock()
				if ended {
					return
				}
			}
		})
	}
	most := 0
	for ctx.Err() == nil && killed.IsZero() {
		mb := anonymousMB(p.cmd.Process.Pid)
		most = max(most, mb)
		if mb > memoryMB {
			s.record.say("%s holds %d MiB, over its limit of %d MiB: the platform ends it", p.name, mb, memoryMB)
			mu.Lock()
			killed = time.Now()
			mu.Unlock()
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(5 * time.Millisecond)
	}
	running.Wait()
	s.record.say("most memory %d MiB; requests: %v", most, outcomes)
	s.record.say("requests passed on to a sound worker whose kept channel was closed without an answer: %d; allowed are 3", lost)
	if outcomes["200"] == 0 && killed.IsZero() {
		return false, fmt.Errorf("the deployment did not serve")
	}
	return lost > 3, nil
}
